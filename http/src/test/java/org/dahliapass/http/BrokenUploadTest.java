package org.dahliapass.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.standins.RawServerStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how a response without a length ends that arrives before its request is written. */
public final class BrokenUploadTest {
    /** More than the kernel buffers of both sides hold. */
    private static final int UPLOAD_BYTES = 32 * 1024 * 1024;

    private static final long MAX_WAIT_SECONDS = 20;
    private static final String PART = "HTTP/1.1 200 OK\r\n\r\npart";
    private static final String COMPLETE = "complete";
    private static final String FAILED = "failed";

    private EventLoopGroup mLoops;
    private HttpClient mClient;
    private RawServerStandIn mServer;

    @BeforeMethod
    public void start() throws IOException {
        mLoops = EventLoops.singleThreaded("test");
        mClient =
                new HttpClient(
                        mLoops,
                        new ManualClock(Instant.EPOCH),
                        Duration.ofSeconds(20),
                        Duration.ofSeconds(20));
        mServer = new RawServerStandIn();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mServer.close();
        mClient.stop().join();
        Future<?> unused = mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"request that is written", 0}, {"request that is being written", UPLOAD_BYTES},
        };
    }

    /** Guards against a part of a body that looks complete after a reset. */
    @Test(dataProvider = "requests")
    public void responseThatIsResetFails(String name, int requestBytes) throws Exception {
        CompletableFuture<Void> received = new CompletableFuture<>();
        mServer.respondAndReset(PART, received);
        assertEquals(end(send(requestBytes, received)), FAILED, name);
    }

    /** A server may end its response while it does not read the request. */
    @Test(dataProvider = "requests")
    public void responseThatTheServerEndsIsComplete(String name, int requestBytes)
            throws Exception {
        mServer.respondAndEnd(PART);
        assertEquals(end(send(requestBytes, new CompletableFuture<>())), COMPLETE, name);
    }

    /** Guards against the same if this side closes the connection. */
    @Test
    public void responseFailsWhenTheClientStops() throws Exception {
        CompletableFuture<Void> received = new CompletableFuture<>();
        mServer.respondAndReset(PART, new CompletableFuture<>());
        CompletableFuture<String> end = send(0, received);
        received.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        mClient.stop().join();
        assertEquals(end(end), FAILED);
    }

    private static String end(CompletableFuture<String> end)
            throws InterruptedException, ExecutionException, TimeoutException {
        return end.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private CompletableFuture<String> send(int requestBytes, CompletableFuture<Void> received) {
        RecordingListener listener = new RecordingListener(received);
        mClient.loop()
                .execute(
                        () ->
                                mClient.send(
                                        mServer.address(),
                                        HttpMethod.POST,
                                        "/",
                                        new DefaultHttpHeaders(),
                                        Unpooled.wrappedBuffer(new byte[requestBytes]),
                                        listener));
        return listener.mEnd;
    }

    /** Records the first part of the body and how the response ends. */
    private static final class RecordingListener implements ResponseListener {
        private final CompletableFuture<Void> mReceived;
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();

        private RecordingListener(CompletableFuture<Void> received) {
            mReceived = received;
        }

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onData(ByteBuf chunk) {
            mReceived.complete(null);
        }

        @Override
        public void onEnd(HttpHeaders trailers) {
            mEnd.complete(COMPLETE);
        }

        @Override
        public void onFailure(Throwable failure) {
            mEnd.complete(FAILED);
        }
    }
}
