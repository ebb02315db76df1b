package org.dahliapass.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

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
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ProtocolException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a server which sends without end is cut off after a bounded number of bytes. */
public final class EndlessResponseTest {
    /** Never reached: what fails does so by the number of bytes. */
    private static final Duration TIME_LIMIT = Duration.ofMinutes(10);

    /** More than the limits and all buffers between the server and the client. */
    private static final long MOST_BYTES = 64L * 1024 * 1024;

    /** How long a busy machine may take until the client closes a connection. */
    private static final long MAX_WAIT_SECONDS = 20;

    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String COMPLETE = HEAD + "Content-Length: 1\r\n\r\na";

    private final BlockingQueue<Long> mSentBytes = new LinkedBlockingQueue<>();
    private EventLoopGroup mLoops;
    private HttpClient mClient;
    private ServerSocket mServer;

    @BeforeMethod
    public void start() throws IOException {
        mLoops = EventLoops.singleThreaded("test");
        mClient =
                new HttpClient(
                        mLoops,
                        new ManualClock(Instant.EPOCH),
                        Duration.ofSeconds(20),
                        Duration.ofSeconds(20));
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        mSentBytes.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        mServer.close();
        mClient.stop().join();
        Future<?> unused = mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] endlessResponses() {
        return new Object[][] {
            {"status line", "HTTP/1.1 200 ", "a"},
            {"empty lines", "", "\r\n"},
            {"header", HEAD + "A: ", "a"},
            {"headers", HEAD, "A: a\r\n"},
            {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
            {"chunk size", CHUNKED, "0"},
            {"chunk extension", CHUNKED + "1;", "a"},
            {"chunk extensions", CHUNKED, "1;" + "a".repeat(100) + "\r\na\r\n"},
            {"trailer", CHUNKED + "0\r\nA: ", "a"},
            {"trailers", CHUNKED + "0\r\n", "A: a\r\n"},
            {"body by chunks", CHUNKED, "400\r\n" + "a".repeat(0x400) + "\r\n"},
            {"body by length", HEAD + "Content-Length: 99999999999\r\n\r\n", "a"},
            {"body without length", HEAD + "\r\n", "a"},
        };
    }

    /** Guards against memory and time that a response without end takes. */
    @Test(dataProvider = "endlessResponses")
    public void responseWithoutEndFails(String name, String start, String repeated)
            throws Exception {
        serve(start, repeated);
        CompletionException failure = expectThrows(CompletionException.class, () -> fetch().join());
        assertTrue(Futures.unwrap(failure) instanceof ProtocolException, name + ": " + failure);
        assertTrue(takeSentBytes() < MOST_BYTES, name);
    }

    /** Guards against a connection that reads for good what follows a complete response. */
    @Test
    public void bytesBehindAResponseCloseItsConnection() throws Exception {
        serve(COMPLETE, "a");
        assertEquals(fetch().join().body().toString(StandardCharsets.US_ASCII), "a");
        assertTrue(takeSentBytes() < MOST_BYTES);
    }

    /** Guards against a connection that reads for good the rest of a response nobody wants. */
    @Test
    public void discardedResponseWithoutEndClosesItsConnection() throws Exception {
        serve(CHUNKED, "400\r\n" + "a".repeat(0x400) + "\r\n");
        CompletableFuture<ClientCall> call = new CompletableFuture<>();
        mClient.loop().execute(() -> call.complete(send(new DiscardingListener(call))));
        assertTrue(takeSentBytes() < MOST_BYTES);
    }

    /** Guards against a connection that waits for good for the rest of such a response. */
    @Test
    public void discardedResponseThatStopsClosesItsConnection() throws Exception {
        serve(CHUNKED, "");
        CompletableFuture<ClientCall> call = new CompletableFuture<>();
        mClient.loop().execute(() -> call.complete(send(new DiscardingListener(call))));
        assertEquals(takeSentBytes(), (long) CHUNKED.length());
    }

    @DataProvider
    public Object[][] additionalBytes() {
        return new Object[][] {
            {"\r\n"},
            {"H"},
            {"HTTP/1.1 503 Service Unavailable\r\nA: b"},
            {"HTTP/1.1 102 Processing\r\n\r\n"},
            {"HTTP/1.1 102 Processing\r\nA"},
            {"1\r\n"},
        };
    }

    /** Guards against a response that is read with the status of bytes behind the one before. */
    @Test(dataProvider = "additionalBytes")
    public void connectionWithAdditionalBytesIsNotReused(String additional) throws Exception {
        serve(COMPLETE + additional, "");
        assertEquals(fetch().join().status(), 200);
        assertEquals(takeSentBytes(), (long) COMPLETE.length() + additional.length());
    }

    @DataProvider
    public Object[][] mixedHeads() {
        String start = "HTTP/1.1 503 Service Unavailable\r\nDate: Fri,";
        return new Object[][] {
            {"HTT"}, {"HTTP/1.1 50"}, {"HTTP/1.1 503 Serv"}, {start}, {start + "\r\n"},
        };
    }

    /** Guards against the same if those bytes arrive after the next request was sent. */
    @Test(dataProvider = "mixedHeads")
    public void headWithAnotherStatusLineFails(String additional) throws Exception {
        serve(additional + COMPLETE, "");
        assertThrows(CompletionException.class, () -> fetch().join());
    }

    private CompletableFuture<ClientResponse> fetch() {
        return mClient.fetch(
                address(),
                HttpMethod.GET,
                "/",
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER,
                TIME_LIMIT);
    }

    /** Waits until the connection is closed and returns the number of bytes sent on it. */
    private long takeSentBytes() throws InterruptedException {
        Long bytes = mSentBytes.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(bytes, "The connection was not closed.");
        return bytes;
    }

    private ClientCall send(ResponseListener listener) {
        return mClient.send(
                address(),
                HttpMethod.GET,
                "/",
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER,
                listener);
    }

    private Endpoint address() {
        return new Endpoint(mServer.getInetAddress().getHostAddress(), mServer.getLocalPort());
    }

    /** Answers a request, and counts the bytes until the client has closed the connection. */
    private void serve(String start, String repeated) {
        Thread server =
                new Thread(
                        () -> {
                            long sent = 0;
                            try (Socket socket = mServer.accept()) {
                                InputStream input = socket.getInputStream();
                                int unused = input.read();
                                OutputStream output = socket.getOutputStream();
                                output.write(bytes(start));
                                sent = start.length();
                                byte[] block = bytes(repeated.repeat(4_096));
                                while (!repeated.isEmpty() && sent < MOST_BYTES) {
                                    output.write(block);
                                    sent += block.length;
                                }
                                long rest = input.transferTo(OutputStream.nullOutputStream());
                                assertTrue(rest >= 0);
                            } catch (IOException closed) {
                                // The client has reset the connection.
                            }
                            mSentBytes.add(sent);
                        });
        server.setDaemon(true);
        server.start();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Discards a response from its head on. */
    private static final class DiscardingListener implements ResponseListener {
        private final CompletableFuture<ClientCall> mCall;

        private DiscardingListener(CompletableFuture<ClientCall> call) {
            mCall = call;
        }

        @Override
        public void onHead(HttpResponse head) {
            mCall.join().discardRest();
        }

        @Override
        public void onData(ByteBuf chunk) {
            throw new AssertionError("The call was ended.");
        }

        @Override
        public void onEnd(HttpHeaders trailers) {
            throw new AssertionError("The call was ended.");
        }

        @Override
        public void onFailure(Throwable failure) {
            throw new AssertionError("The call was ended.", failure);
        }
    }
}
