package org.dahliapass.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.dahliapass.kernel.MonotonicClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link StoreStandIn} over HTTP: blocking reads, value sizes and faults. */
public class StoreStandInTest {
    private StoreStandIn mStore;
    private WebClient mClient;

    @BeforeMethod
    public void start() {
        mStore = new StoreStandIn(0, new MonotonicClock(), new SplittableRandom(7));
        mStore.start();
        mClient = WebClient.of("http://" + mStore.endpoint());
    }

    @AfterMethod
    public void stop() {
        mStore.close();
    }

    @Test
    public void blockingReadReturnsOnWrite() throws Exception {
        AggregatedHttpResponse absent = get("/v1/kv/a/b");
        assertEquals(absent.status(), HttpStatus.NOT_FOUND);
        String index = absent.headers().get("x-consul-index");

        CompletableFuture<AggregatedHttpResponse> watch =
                mClient.get("/v1/kv/a/b?wait=5m&index=" + index).aggregate();
        assertEquals(put("/v1/kv/a/b?cas=0", "x").contentUtf8(), "true");

        AggregatedHttpResponse response = watch.get(20, TimeUnit.SECONDS);
        assertTrue(response.contentUtf8().contains("\"Value\":\"eA==\""), response.contentUtf8());
        assertEquals(mStore.calls().get(StoreCall.WATCH), Long.valueOf(1));
    }

    @Test
    public void blockingReadReturnsAfterMaxWait() {
        assertEquals(get("/v1/kv/none?index=1&wait=10ms").status(), HttpStatus.NOT_FOUND);
    }

    @Test
    public void writeWithLostResponseTakesEffect() {
        // The client gets a closed connection, but the write must be visible to readers.
        mStore.setFaults(StoreFaults.NONE.withLoseAnswers(1));
        assertThrows(CompletionException.class, () -> put("/v1/kv/head?cas=0", "x"));
        assertEquals(get("/v1/kv/head").status(), HttpStatus.OK);
        assertEquals(put("/v1/kv/head?cas=0", "y").contentUtf8(), "false");
    }

    @Test
    public void unavailableStoreFailsReadsAndPendingWatches() throws Exception {
        CompletableFuture<AggregatedHttpResponse> watch =
                mClient.get("/v1/kv/a?wait=5m&index=1").aggregate();
        assertEquals(put("/faults", "{\"away\":true}").status(), HttpStatus.OK);
        assertEquals(get("/v1/kv/a").status(), HttpStatus.INTERNAL_SERVER_ERROR);
        assertEquals(watch.get(20, TimeUnit.SECONDS).status(), HttpStatus.INTERNAL_SERVER_ERROR);

        mStore.setFaults(new StoreFaults(true, true, 0, 0));
        assertThrows(CompletionException.class, () -> get("/v1/kv/a"));
        mStore.setFaults(StoreFaults.NONE);
        assertEquals(get("/v1/kv/a").status(), HttpStatus.NOT_FOUND);
        assertEquals(put("/faults", "{\"unknown\":1}").status(), HttpStatus.BAD_REQUEST);
        assertEquals(put("/v1/kv/a?cas=x", "").status(), HttpStatus.BAD_REQUEST);
    }

    @Test
    public void valueAboveMaxSizeIsRejected() {
        String maxValue = "x".repeat(StoreService.MAX_VALUE_BYTES);
        assertEquals(put("/v1/kv/large", maxValue).status(), HttpStatus.OK);
        assertEquals(
                put("/v1/kv/large", maxValue + "x").status(), HttpStatus.REQUEST_ENTITY_TOO_LARGE);
    }

    private AggregatedHttpResponse get(String path) {
        return mClient.get(path).aggregate().join();
    }

    private AggregatedHttpResponse put(String path, String body) {
        return mClient.put(path, body).aggregate().join();
    }
}
