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
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a client can recognize an aborted response. */
public final class AbortedResponseTest {
    private static final ServerTimeouts TIMEOUTS =
            new ServerTimeouts(
                    Duration.ofSeconds(3), Duration.ofSeconds(5), Duration.ofSeconds(15));

    private final Clock mClock = new ManualClock(Instant.ofEpochSecond(1_000));
    private final PollMonitor mMonitor = new PollMonitor(mClock);
    private final EventLoopGroup mLoops = EventLoops.singleThreaded("test", mMonitor);
    private HttpServer mServer;

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mServer.stop().join();
    }

    /** What aborts the response. */
    private enum AbortCause {
        /** The handler aborts the call. */
        CALL_ABORTED {
            @Override
            void abort(ServerCall call, HttpServer server) {
                call.abort();
            }
        },
        /** The server stops. */
        SERVER_STOPPED {
            @Override
            void abort(ServerCall call, HttpServer server) {
                CompletableFuture<Void> unused = server.stop();
            }
        };

        abstract void abort(ServerCall call, HttpServer server);
    }

    @DataProvider
    public Object[][] abortCauses() {
        return new Object[][] {{AbortCause.CALL_ABORTED}, {AbortCause.SERVER_STOPPED}};
    }

    /**
     * An HTTP/1.0 response of unknown length ends with its connection. After a graceful close, an
     * aborted response looks complete.
     */
    @Test(dataProvider = "abortCauses")
    public void abortedResponseEndsWithAReset(AbortCause cause) throws IOException {
        Endpoint address = freeAddress();
        mServer =
                new HttpServer(
                        mLoops,
                        call -> startAndAbort(call, cause),
                        mClock,
                        mMonitor,
                        () -> TIMEOUTS);
        mServer.listen(address).join();
        try (Socket client = new Socket(address.host(), address.port())) {
            byte[] request =
                    "GET / HTTP/1.0\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            client.getOutputStream().write(request);
            assertThrows(IOException.class, () -> readToEnd(client.getInputStream()));
        }
    }

    private void startAndAbort(ServerCall call, AbortCause cause) {
        call.readBody(
                0,
                body -> {
                    call.startResponse(HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE, -1);
                    call.write(Unpooled.wrappedBuffer(new byte[] {1, 2, 3}));
                    Future<?> unused = call.loop().submit(() -> cause.abort(call, mServer));
                },
                () -> {});
    }

    private static void readToEnd(InputStream input) throws IOException {
        while (input.read() >= 0) {
            // The content doesn't matter.
        }
    }

    private static Endpoint freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Endpoint(socket.getInetAddress().getHostAddress(), socket.getLocalPort());
        }
    }
}
