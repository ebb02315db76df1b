package org.dahliapass.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that no connection carries a request twice, and that its other uses go on. */
public final class UsedConnectionsTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);

    private ServerSocket mServer;
    private EventLoopGroup mLoops;
    private HttpClient mClient;

    @BeforeMethod
    public void start() throws IOException {
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout((int) LIMIT.toMillis());
        mLoops = EventLoops.singleThreaded("test");
        mClient =
                new HttpClient(
                        mLoops,
                        new ManualClock(Instant.ofEpochSecond(1_000)),
                        Duration.ofSeconds(10),
                        Duration.ofSeconds(4));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mClient.stop().join();
        mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        mServer.close();
    }

    /** Guards against a late copy of a response that is read as the response to the second send. */
    @Test
    public void requestIsNotSentAgainOnAnIdleConnectionThatCarriedIt() throws Exception {
        UsedConnections used = new UsedConnections();
        try (Socket first = serveOnNewConnection(used);
                Socket second = serveOnNewConnection(used)) {
            assertEquals(first.getInputStream().available(), 0);
            assertEquals(second.getInputStream().available(), 0);
        }
    }

    /** Guards against a new connection for each request after one that was sent twice. */
    @Test
    public void usedConnectionIsKeptForOtherRequests() throws Exception {
        UsedConnections used = new UsedConnections();
        Socket firstConnection = serveOnNewConnection(used);
        CompletableFuture<Void> second = send(used);
        Socket secondConnection = mServer.accept();
        CompletableFuture<Void> other = send(new UsedConnections());
        respond(firstConnection);
        other.get(LIMIT.toSeconds(), TimeUnit.SECONDS);
        respond(secondConnection);
        second.get(LIMIT.toSeconds(), TimeUnit.SECONDS);
        firstConnection.close();
        secondConnection.close();
    }

    /** Sends a request and answers it on the connection that the client opens for it. */
    private Socket serveOnNewConnection(UsedConnections used) throws Exception {
        CompletableFuture<Void> sent = send(used);
        Socket connection = mServer.accept();
        respond(connection);
        sent.get(LIMIT.toSeconds(), TimeUnit.SECONDS);
        return connection;
    }

    private CompletableFuture<Void> send(UsedConnections used) {
        CompletableFuture<Void> completed = new CompletableFuture<>();
        mClient.loop()
                .execute(
                        () ->
                                mClient.send(
                                        new Endpoint(
                                                mServer.getInetAddress().getHostAddress(),
                                                mServer.getLocalPort()),
                                        HttpMethod.GET,
                                        "/",
                                        new DefaultHttpHeaders().set("host", "a"),
                                        Unpooled.EMPTY_BUFFER,
                                        used,
                                        new CompletionListener(completed)));
        return completed;
    }

    /** Reads a request and responds to it. */
    private static void respond(Socket connection) throws IOException {
        connection.setSoTimeout((int) LIMIT.toMillis());
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) connection.getInputStream().read());
        }
        connection
                .getOutputStream()
                .write(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
    }

    private static final class CompletionListener implements ResponseListener {
        private final CompletableFuture<Void> mCompleted;

        CompletionListener(CompletableFuture<Void> completed) {
            mCompleted = completed;
        }

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onData(ByteBuf chunk) {}

        @Override
        public void onEnd(HttpHeaders trailers) {
            mCompleted.complete(null);
        }

        @Override
        public void onFailure(Throwable failure) {
            mCompleted.completeExceptionally(failure);
        }
    }
}
