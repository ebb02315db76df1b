package org.dahliapass.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.dahliapass.kernel.ManualClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link TargetStandIn} over HTTP/1.1 and h2c. */
public class TargetStandInTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    private TargetStandIn mTarget;

    @BeforeMethod
    public void start() {
        TargetSettings settings = new TargetSettings(1, 1, 0, 7);
        mTarget = new TargetStandIn(0, settings, new ManualClock(Instant.EPOCH));
        mTarget.start();
    }

    @AfterMethod
    public void stop() {
        mTarget.close();
    }

    @DataProvider
    public Object[][] protocols() {
        return new Object[][] {{"h1c"}, {"h2c"}};
    }

    @Test(dataProvider = "protocols", timeOut = TIMEOUT_MILLIS)
    public void busySlotRejectsUntilClientCancels(String protocol) {
        WebClient client = client(protocol);
        mTarget.setFaults(parseFaults("{\"stall\":true}"));
        HttpResponse stalled = client.get("/jobs/a");
        waitUntil(() -> mTarget.state().load().busySlots() == 1);

        AggregatedHttpResponse rejected = client.get("/jobs/b").aggregate().join();
        assertEquals(rejected.status(), HttpStatus.SERVICE_UNAVAILABLE);
        assertEquals(rejected.headers().get("x-not-processed"), "true");
        assertEquals(rejected.headers().get("retry-after"), "1");
        assertFalse(rejected.headers().contains("x-draining"));

        stalled.abort();
        waitUntil(() -> mTarget.state().cancelled() == 1);
        mTarget.setFaults(TargetFaults.NONE);
        assertEquals(client.get("/jobs/c").aggregate().join().status(), HttpStatus.OK);
        assertEquals(mTarget.state().served(), 2);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void runsAreCountedByIdempotencyKey() {
        assertTrue(post("k1").contentUtf8().contains("\"operation\":\"k1\",\"runs\":1"));
        assertTrue(post("k1").contentUtf8().contains("\"runs\":2"));
        assertTrue(post("k2").contentUtf8().contains("\"runs\":1"));
        assertEquals(mTarget.state().runs(), Map.of("k1", 2, "k2", 1));
        assertEquals(
                client("h1c").get("/runs").aggregate().join().contentUtf8(), "{\"k1\":2,\"k2\":1}");
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void failedOperationIsCountedOnlyIfItRan() {
        mTarget.setFaults(parseFaults("{\"failShare\":1}"));
        assertEquals(post("before").status(), HttpStatus.INTERNAL_SERVER_ERROR);
        mTarget.setFaults(parseFaults("{\"failShare\":1,\"failAfterRun\":true}"));
        assertEquals(post("after").status(), HttpStatus.INTERNAL_SERVER_ERROR);
        assertEquals(mTarget.state().runs(), Map.of("after", 1));
        assertEquals(mTarget.state().load().busySlots(), 0);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void drainingTargetRejectsNewRequests() {
        mTarget.setDraining(true);
        AggregatedHttpResponse rejected = post("k");
        assertEquals(rejected.headers().get("x-draining"), "true");
        assertEquals(rejected.headers().get("x-not-processed"), "true");
        assertTrue(mTarget.state().runs().isEmpty());
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void deadlineEndsStalledRequest() {
        mTarget.setFaults(parseFaults("{\"stall\":true}"));
        RequestHeaders headers =
                RequestHeaders.of(HttpMethod.GET, "/jobs/a", "x-request-timeout-ms", "5");
        AggregatedHttpResponse response = client("h1c").execute(headers).aggregate().join();
        assertEquals(response.status(), HttpStatus.GATEWAY_TIMEOUT);
        assertEquals(mTarget.state().load().busySlots(), 0);
        assertEquals(mTarget.state().cancelled(), 0);
    }

    @Test(dataProvider = "protocols", timeOut = TIMEOUT_MILLIS)
    public void streamArrivesCompleteOrFails(String protocol) {
        int length = 3 * PatternBody.CHUNK_LENGTH + 5;
        WebClient client = client(protocol);
        byte[] body = client.get("/x?bytes=" + length).aggregate().join().content().array();
        assertEquals(body.length, length);
        for (int offset = 0; offset < length; offset++) {
            assertEquals(body[offset], PatternBody.byteAt(offset));
        }

        mTarget.setFaults(parseFaults("{\"closeEarly\":true}"));
        assertThrows(
                CompletionException.class,
                () -> client.get("/x?bytes=" + length).aggregate().join());
        assertThrows(CompletionException.class, () -> client.get("/x").aggregate().join());
        assertEquals(mTarget.state().cancelled(), 0);
    }

    @Test(dataProvider = "protocols", timeOut = TIMEOUT_MILLIS)
    public void closeWaitsForInFlightRequests(String protocol) {
        // A shutdown that doesn't wait for requests in flight would close the client's connection.
        TargetSettings slow = new TargetSettings(1, 300, 0, 7);
        TargetStandIn target = new TargetStandIn(0, slow, new ManualClock(Instant.EPOCH));
        target.start();
        WebClient client = WebClient.of(protocol + "://" + target.endpoint());
        HttpResponse response = client.get("/x?bytes=9000000");
        waitUntil(() -> target.state().served() == 1);
        CompletableFuture<Void> closed = CompletableFuture.runAsync(target::close);
        assertEquals(response.aggregate().join().content().length(), 9_000_000);
        closed.join();
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void refusedConnectionsLeaveControlPortOpen() {
        WebClient control = WebClient.of("http://" + mTarget.controlEndpoint());
        String body = "{\"refuseConnections\":true,\"loadLies\":9}";
        control.put("/faults", body).aggregate().join();
        assertThrows(CompletionException.class, () -> post("k"));
        assertEquals(
                control.get("/load").aggregate().join().contentUtf8(),
                "{\"busySlots\":9,\"slots\":1}");
        control.put("/faults", "{}").aggregate().join();
        assertEquals(post("k").status(), HttpStatus.OK);
    }

    private AggregatedHttpResponse post(String key) {
        RequestHeaders headers =
                RequestHeaders.of(
                        HttpMethod.POST, "/jobs/p", "idempotency-key", key, "x-operation", key);
        return client("h2c").execute(headers).aggregate().join();
    }

    private WebClient client(String protocol) {
        return WebClient.of(protocol + "://" + mTarget.endpoint());
    }

    private static TargetFaults parseFaults(String json) {
        return HttpResponses.decode(json, TargetFaults.class);
    }

    private static void waitUntil(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            Thread.onSpinWait();
        }
    }
}
