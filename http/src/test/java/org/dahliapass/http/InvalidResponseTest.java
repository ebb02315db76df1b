package org.dahliapass.http;

import static org.testng.Assert.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.dahliapass.kernel.ManualClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that only a response that the protocol allows is received as one. */
public final class InvalidResponseTest {
    /** Never reached: what fails does so by what the server sends. */
    private static final Duration TIME_LIMIT = Duration.ofMinutes(10);

    private static final String LENGTH = "Content-Length: 2\r\n\r\n";

    private EventLoopGroup mLoops;
    private HttpClient mClient;
    private RawResponseServer mServer;

    @BeforeMethod
    public void start() throws IOException {
        mLoops = EventLoops.singleThreaded("test");
        mClient =
                new HttpClient(
                        mLoops,
                        new ManualClock(Instant.EPOCH),
                        Duration.ofSeconds(20),
                        Duration.ofSeconds(20));
        mServer = new RawResponseServer();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mServer.close();
        mClient.stop().join();
        Future<?> unused = mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] statusLines() {
        return new Object[][] {
            {"status 000", "HTTP/1.1 000 Unknown\r\n"},
            {"status 099", "HTTP/1.1 099 Unknown\r\n"},
            {"status 600", "HTTP/1.1 600 Unknown\r\n"},
            {"status 999", "HTTP/1.1 999 Unknown\r\n"},
            {"status with two digits", "HTTP/1.1 20 OK\r\n"},
        };
    }

    /** Guards against a status line that no server may send, received as an answer. */
    @Test(dataProvider = "statusLines")
    public void responseWithInvalidStatusLineFails(String name, String statusLine) {
        assertFails(name, statusLine + LENGTH + "hi");
    }

    private void assertFails(String name, String response) {
        mServer.respond(response);
        CompletableFuture<ClientResponse> received = fetch();
        assertThrows(CompletionException.class, () -> describe(name, received.join()));
    }

    /** Fails with what was received as an answer. */
    private static void describe(String name, ClientResponse received) {
        throw new AssertionError(
                name
                        + ": "
                        + received.status()
                        + " "
                        + received.headers()
                        + " "
                        + received.body().toString(StandardCharsets.ISO_8859_1));
    }

    private CompletableFuture<ClientResponse> fetch() {
        return mClient.fetch(
                mServer.address(),
                HttpMethod.GET,
                "/",
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER,
                TIME_LIMIT);
    }
}
