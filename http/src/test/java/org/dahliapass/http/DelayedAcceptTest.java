package org.dahliapass.http;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Tests of servers that accept connections later than they listen. */
public final class DelayedAcceptTest {
    private static final ServerTimeouts TIMEOUTS =
            new ServerTimeouts(
                    Duration.ofSeconds(10), Duration.ofSeconds(10), Duration.ofSeconds(10));
    private static final int STATUS_LINE_BYTES = 12;

    private final EventLoopGroup mLoops = EventLoops.singleThreaded("test");

    @AfterClass(alwaysRun = true)
    public void stop() {
        Future<?> unused = mLoops.shutdownGracefully();
    }

    /** A request during a short start must wait for the handler instead of being refused. */
    @Test
    public void requestWaitsUntilConnectionsAreAccepted() throws IOException {
        Endpoint address = freeAddress();
        AtomicInteger handled = new AtomicInteger();
        HttpServer server =
                new HttpServer(
                        mLoops,
                        call -> {
                            handled.incrementAndGet();
                            call.respond(ServerResponse.of(HttpResponseStatus.OK));
                        },
                        new ManualClock(Instant.ofEpochSecond(1_000)),
                        () -> TIMEOUTS);
        server.listenWithoutAccepting(address).join();
        try (Socket client = new Socket(address.host(), address.port())) {
            client.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            mLoops.next().submit(() -> {}).syncUninterruptibly();
            assertEquals(handled.get(), 0);
            server.acceptConnections();
            byte[] status = client.getInputStream().readNBytes(STATUS_LINE_BYTES);
            assertEquals(new String(status, StandardCharsets.US_ASCII), "HTTP/1.1 200");
        }
        server.stop().join();
    }

    private static Endpoint freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Endpoint(socket.getInetAddress().getHostAddress(), socket.getLocalPort());
        }
    }
}
