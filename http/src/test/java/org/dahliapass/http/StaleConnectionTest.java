package org.dahliapass.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
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
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a connection which the server has closed is not used for another request. */
public final class StaleConnectionTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);

    private ServerSocket mServer;
    private EventLoopGroup mLoops;
    private HttpClient mClient;

    @BeforeMethod
    public void start() throws IOException {
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
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

    /** Whether the server's last act on the idle connection is a reset. */
    @DataProvider
    public Object[][] resets() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against a request that may have run, and so is not sent again, because it was sent on
     * a connection whose close the busy event loop had not read yet.
     */
    @Test(dataProvider = "resets")
    public void requestIsSentOnNewConnectionIfTheIdleOneIsClosed(boolean reset) throws Exception {
        CompletableFuture<ClientResponse> first = fetch();
        Socket connection = respond();
        assertEquals(first.get(LIMIT.toSeconds(), TimeUnit.SECONDS).status(), 200);
        CompletableFuture<Void> closed = new CompletableFuture<>();
        mClient.loop().execute(closed::join);
        CompletableFuture<ClientResponse> second = fetch();
        connection.setSoLinger(reset, 0);
        connection.close();
        closed.complete(null);
        respond().close();
        assertEquals(second.get(LIMIT.toSeconds(), TimeUnit.SECONDS).status(), 200);
    }

    private CompletableFuture<ClientResponse> fetch() {
        return mClient.fetch(
                new Endpoint(mServer.getInetAddress().getHostAddress(), mServer.getLocalPort()),
                HttpMethod.GET,
                "/",
                new DefaultHttpHeaders().set("host", "a"),
                Unpooled.EMPTY_BUFFER,
                LIMIT);
    }

    /** Accepts a connection and responds to its first request. */
    private Socket respond() throws IOException {
        mServer.setSoTimeout((int) LIMIT.toMillis());
        Socket connection = mServer.accept();
        int first = connection.getInputStream().read();
        assertEquals(first, 'G');
        int rest = connection.getInputStream().available();
        byte[] unused = connection.getInputStream().readNBytes(rest);
        connection
                .getOutputStream()
                .write(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
        return connection;
    }
}
