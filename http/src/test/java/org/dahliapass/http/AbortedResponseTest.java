package org.dahliapass.http;

import static org.testng.Assert.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of what a client sees of an answer that was begun and broken off. */
public final class AbortedResponseTest {
    private static final ServerTimeouts LIMITS =
            new ServerTimeouts(
                    Duration.ofSeconds(3), Duration.ofSeconds(5), Duration.ofSeconds(15));

    private final EventLoopGroup mLoops = EventLoops.singleThreaded("test");
    private HttpServer mServer;

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mServer.stop().join();
    }

    /** What breaks the answer off. */
    private enum Break {
        /** The target of the request broke off. */
        CUT {
            @Override
            void end(ServerCall call, HttpServer server) {
                call.abort();
            }
        },
        /** The server stops as a whole. */
        STOP {
            @Override
            void end(ServerCall call, HttpServer server) {
                CompletableFuture<Void> unused = server.stop();
            }
        };

        abstract void end(ServerCall call, HttpServer server);
    }

    @DataProvider
    public Object[][] breaks() {
        return new Object[][] {{Break.CUT}, {Break.STOP}};
    }

    /**
     * An extract looks whole and lacks its end. An old client gets an answer of unknown length up
     * to the close of its connection, and an answer that was broken off was closed in the ordinary
     * way, too. A reset tells them apart.
     */
    @Test(dataProvider = "breaks")
    public void answerThatIsBrokenOffEndsWithAReset(Break how) throws IOException {
        Endpoint address = freeAddress();
        mServer =
                new HttpServer(
                        mLoops,
                        call -> beginAndBreak(call, how),
                        new ManualClock(Instant.ofEpochSecond(1_000)),
                        () -> LIMITS);
        mServer.listen(address).join();
        try (Socket client = new Socket(address.host(), address.port())) {
            byte[] request =
                    "GET / HTTP/1.0\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            client.getOutputStream().write(request);
            assertThrows(IOException.class, () -> readToEnd(client.getInputStream()));
        }
    }

    private void beginAndBreak(ServerCall call, Break how) {
        call.readBody(
                0,
                body -> {
                    call.startResponse(HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE, -1);
                    call.write(Unpooled.wrappedBuffer(new byte[] {1, 2, 3}));
                    Future<?> unused = call.loop().submit(() -> how.end(call, mServer));
                },
                () -> {});
    }

    private static void readToEnd(InputStream input) throws IOException {
        while (input.read() >= 0) {
            // Only how it ends is of interest.
        }
    }

    private static Endpoint freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Endpoint(socket.getInetAddress().getHostAddress(), socket.getLocalPort());
        }
    }
}
