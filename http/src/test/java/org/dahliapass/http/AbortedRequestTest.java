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
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of how a connection ends whose request was given up, at a server that reads only then.
 *
 * <p>A reset drops what the kernel still holds; how much a server on the same machine gets before
 * it, is a race, so only the reset itself is looked for.
 */
public final class AbortedRequestTest {
    /** Much more than the server takes without reading, and what a client's kernel holds. */
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
     * A target ran a request 10.7 s after its caller's time was over. The link to the target was
     * cut for a while; the offer was given up and its connection closed in the ordinary way, so the
     * kernel kept what was written and delivered it once the link was back.
     */
    @Test
    public void requestThatWasGivenUpDoesNotReachTheServerLater() throws IOException {
        CompletableFuture<ClientCall> sent = new CompletableFuture<>();
        mClient.loop().execute(() -> sent.complete(send()));
        try (Socket connection = mServer.accept()) {
            int first = connection.getInputStream().read();
            assertTrue(first > 0, "The request is on its way.");
            CompletableFuture.runAsync(() -> sent.join().abort(), mClient.loop()).join();
            assertThrows(IOException.class, () -> readToEnd(connection.getInputStream()));
        }
    }

    /** The same when the client stops as a whole. */
    @Test
    public void requestOfAClientThatStopsDoesNotReachTheServerLater() throws IOException {
        mClient.loop().execute(this::send);
        try (Socket connection = mServer.accept()) {
            int first = connection.getInputStream().read();
            assertTrue(first > 0, "The request is on its way.");
            mClient.stop().join();
            assertThrows(IOException.class, () -> readToEnd(connection.getInputStream()));
        }
    }

    private ClientCall send() {
        return mClient.send(
                new Endpoint(mServer.getInetAddress().getHostAddress(), mServer.getLocalPort()),
                HttpMethod.POST,
                "/lock",
                new DefaultHttpHeaders().set("host", "a"),
                Unpooled.wrappedBuffer(new byte[BODY_BYTES]),
                new Silent());
    }

    /** Reads up to the end of a connection. */
    private static void readToEnd(InputStream input) throws IOException {
        byte[] piece = new byte[SERVER_BUFFER_BYTES];
        int read = input.read(piece);
        while (read >= 0) {
            read = input.read(piece);
        }
    }

    /** Takes no answer. */
    private static final class Silent implements ResponseListener {
        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onData(ByteBuf piece) {}

        @Override
        public void onEnd(HttpHeaders trailers) {}

        @Override
        public void onFailure(Throwable failure) {}
    }
}
