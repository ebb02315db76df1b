package org.dahliapass.http;

import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that aborting a request resets its connection, at a server that reads only afterwards.
 *
 * <p>How many bytes the server receives before the reset depends on timing, so only the reset is
 * asserted.
 */
public final class AbortedRequestTest {
    /** More than the kernel buffers of both sides hold. */
    private static final int BODY_BYTES = 200_000;

    private static final int SERVER_BUFFER_BYTES = 4_096;

    private ServerSocket mServer;
    private EventLoopGroup mLoops;
    private HttpClient mClient;

    @BeforeMethod
    public void start() throws IOException {
        mServer = new ServerSocket();
        mServer.setReceiveBufferSize(SERVER_BUFFER_BYTES);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
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
        Future<?> unused = mLoops.shutdownGracefully();
        mServer.close();
    }

    /**
     * After a graceful close, the kernel delivers the aborted request once a broken network link
     * recovers, long after the caller's deadline.
     */
    @Test
    public void abortedRequestIsNotDeliveredLater() throws IOException {
        CompletableFuture<ClientCall> sent = new CompletableFuture<>();
        mClient.loop().execute(() -> sent.complete(send()));
        try (Socket connection = mServer.accept()) {
            int first = connection.getInputStream().read();
            assertTrue(first > 0, "no byte of the request arrived");
            CompletableFuture.runAsync(() -> sent.join().abort(), mClient.loop()).join();
            assertThrows(IOException.class, () -> readToEnd(connection.getInputStream()));
        }
    }

    /** Stopping the client must reset its connections, too. */
    @Test
    public void requestIsNotDeliveredAfterTheClientStops() throws IOException {
        mClient.loop().execute(this::send);
        try (Socket connection = mServer.accept()) {
            int first = connection.getInputStream().read();
            assertTrue(first > 0, "no byte of the request arrived");
            mClient.stop().join();
            assertThrows(IOException.class, () -> readToEnd(connection.getInputStream()));
        }
    }

    /** Guards against a caller that leaves late and resets the request of another one. */
    @Test
    public void abortAfterTheEndDoesNotResetTheNextRequest() throws IOException {
        CompletableFuture<ClientCall> first = new CompletableFuture<>();
        CompletableFuture<Void> firstEnd = new CompletableFuture<>();
        CompletableFuture<Void> secondEnd = new CompletableFuture<>();
        mClient.loop().execute(() -> first.complete(get(firstEnd)));
        try (Socket connection = mServer.accept()) {
            answer(connection);
            firstEnd.join();
            mClient.loop()
                    .execute(
                            () -> {
                                get(secondEnd);
                                first.join().abort();
                            });
            answer(connection);
            secondEnd.join();
        }
    }

    private ClientCall get(CompletableFuture<Void> end) {
        return mClient.send(
                address(),
                HttpMethod.GET,
                "/read",
                new DefaultHttpHeaders().set("host", "a"),
                Unpooled.EMPTY_BUFFER,
                new EndListener(end));
    }

    /** Reads a request without a body and responds to it. */
    private static void answer(Socket connection) throws IOException {
        StringBuilder request = new StringBuilder();
        while (request.indexOf("\r\n\r\n") < 0) {
            int next = connection.getInputStream().read();
            assertTrue(next >= 0, "The connection ended after: " + request);
            request.append((char) next);
        }
        byte[] response =
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        connection.getOutputStream().write(response);
    }

    private Endpoint address() {
        return new Endpoint(mServer.getInetAddress().getHostAddress(), mServer.getLocalPort());
    }

    private ClientCall send() {
        return mClient.send(
                address(),
                HttpMethod.POST,
                "/lock",
                new DefaultHttpHeaders().set("host", "a"),
                Unpooled.wrappedBuffer(new byte[BODY_BYTES]),
                new NoOpListener());
    }

    /** Reads until the end of the stream. */
    private static void readToEnd(InputStream input) throws IOException {
        byte[] buffer = new byte[SERVER_BUFFER_BYTES];
        int read = input.read(buffer);
        while (read >= 0) {
            read = input.read(buffer);
        }
    }

    /** Completes a future with the end of the response. */
    private static final class EndListener extends NoOpListener {
        private final CompletableFuture<Void> mEnd;

        private EndListener(CompletableFuture<Void> end) {
            mEnd = end;
        }

        @Override
        public void onEnd(HttpHeaders trailers) {
            mEnd.complete(null);
        }

        @Override
        public void onFailure(Throwable failure) {
            mEnd.completeExceptionally(failure);
        }
    }

    /** Ignores the response. */
    private static class NoOpListener implements ResponseListener {
        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onData(ByteBuf buffer) {}

        @Override
        public void onEnd(HttpHeaders trailers) {}

        @Override
        public void onFailure(Throwable failure) {}
    }
}
