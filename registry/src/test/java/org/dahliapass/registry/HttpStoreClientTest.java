package org.dahliapass.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.OutcomeUnknownException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests of {@link HttpStoreClient} against an HTTP server. */
public final class HttpStoreClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private Server mServer;
    private volatile Function<HttpRequest, HttpResponse> mHandler;

    @BeforeClass
    public void startServer() {
        mServer =
                Server.builder()
                        .service("prefix:/", (context, request) -> mHandler.apply(request))
                        .build();
        mServer.start().join();
    }

    @AfterClass
    public void stopServer() {
        mServer.stop().join();
    }

    private HttpStoreClient client(Duration timeout) {
        return new HttpStoreClient(new Endpoint("127.0.0.1", mServer.activeLocalPort()), timeout);
    }

    private static HttpStoreClient clientWithoutServer() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new HttpStoreClient(new Endpoint("127.0.0.1", socket.getLocalPort()), TIMEOUT);
        }
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(30, TimeUnit.SECONDS);
    }

    private static Throwable failureOf(CompletableFuture<?> future) {
        return expectThrows(ExecutionException.class, () -> get(future)).getCause();
    }

    private static HttpResponse entry(String value, long index) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        return HttpResponse.of(
                ResponseHeaders.builder(HttpStatus.OK)
                        .contentType(MediaType.JSON_UTF_8)
                        .add("X-Consul-Index", "" + index)
                        .build(),
                HttpData.ofUtf8(
                        "[{\"Key\":\"k\",\"Value\":\"%s\",\"ModifyIndex\":%d}]", encoded, index));
    }

    @Test
    public void readReturnsTheDecodedValueWithItsIndex() throws Exception {
        mHandler = request -> entry("Grüße", 7);
        assertEquals(
                get(client(TIMEOUT).read("template/himal")),
                Optional.of(new StoredValue("template/himal", "Grüße", 7)));
    }

    @Test
    public void readPercentEncodesEachPathSegment() throws Exception {
        CompletableFuture<String> path = new CompletableFuture<>();
        mHandler =
                request -> {
                    path.complete(request.path());
                    return HttpResponse.of(HttpStatus.NOT_FOUND);
                };
        assertFalse(get(client(TIMEOUT).read("template/a b?")).isPresent());
        assertEquals(get(path), "/v1/kv/template/a%20b%3F");
    }

    @Test
    public void readServerErrorReportsOperationAndPeer() {
        mHandler = request -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
        OperationException failure = (OperationException) failureOf(client(TIMEOUT).read("head"));
        assertEquals(failure.operation(), "read head");
        assertEquals(failure.peer(), "127.0.0.1:" + mServer.activeLocalPort());
    }

    @Test
    public void readWithoutResponseTimesOut() {
        mHandler = request -> HttpResponse.streaming();
        assertTrue(
                failureOf(client(Duration.ofMillis(200)).read("head"))
                        instanceof OperationException);
    }

    @Test
    public void watchOfAbsentKeyReturnsTheIndexForTheNextRead() throws Exception {
        CompletableFuture<String> path = new CompletableFuture<>();
        mHandler =
                request -> {
                    path.complete(request.path());
                    return HttpResponse.of(
                            ResponseHeaders.of(HttpStatus.NOT_FOUND, "X-Consul-Index", "12"));
                };
        assertEquals(
                get(client(TIMEOUT).watch("head", 11, Duration.ofSeconds(5))),
                new WatchedValue(Optional.empty(), 12));
        assertEquals(get(path), "/v1/kv/head?index=11&wait=5s");
    }

    @Test
    public void compareAndSwapReturnsSwappedOrConflict() throws Exception {
        mHandler = request -> HttpResponse.of(request.path().endsWith("cas=3") ? "true" : "false");
        assertEquals(get(client(TIMEOUT).compareAndSwap("head", "x", 3)), SwapResult.SWAPPED);
        assertEquals(get(client(TIMEOUT).compareAndSwap("head", "x", 4)), SwapResult.CONFLICT);
    }

    // If a lost response were reported as "not written", the operator would repeat the change.
    @Test
    public void compareAndSwapWithoutResponseHasUnknownOutcome() {
        mHandler = request -> HttpResponse.streaming();
        assertTrue(
                failureOf(client(Duration.ofMillis(200)).compareAndSwap("head", "x", 3))
                        instanceof OutcomeUnknownException);
        mHandler = request -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
        assertTrue(
                failureOf(client(TIMEOUT).compareAndSwap("head", "x", 3))
                        instanceof OutcomeUnknownException);
    }

    @Test
    public void unsentOrRejectedCompareAndSwapIsNotWritten() throws Exception {
        mHandler = request -> HttpResponse.of(HttpStatus.BAD_REQUEST);
        HttpStoreClient client = client(TIMEOUT);
        assertFalse(
                failureOf(client.compareAndSwap("head", "x", 3))
                        instanceof OutcomeUnknownException);
        Throwable failure = failureOf(clientWithoutServer().compareAndSwap("head", "x", 3));
        assertTrue(failure instanceof OperationException, failure.toString());
        assertFalse(failure instanceof OutcomeUnknownException, failure.toString());
    }
}
