package org.dahliapass.http;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link HttpClient#isListening}. */
public final class HttpClientListeningTest {
    private EventLoopGroup mLoops;
    private HttpClient mClient;

    @BeforeMethod
    public void start() {
        mLoops = EventLoops.singleThreaded("test");
        mClient =
                new HttpClient(
                        mLoops, Clock.systemUTC(), Duration.ofSeconds(10), Duration.ofSeconds(4));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mClient.stop().join();
        mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void openPortIsListening() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertEquals(isListening(server.getLocalPort()), true);
        }
    }

    @Test
    public void closedPortIsNotListening() throws IOException {
        int port;
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = server.getLocalPort();
        }
        assertEquals(isListening(port), false);
    }

    private boolean isListening(int port) {
        return mClient.isListening(new Endpoint("127.0.0.1", port)).join();
    }
}
