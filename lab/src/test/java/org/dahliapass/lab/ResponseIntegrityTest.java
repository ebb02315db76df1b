package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.standins.TargetFaults;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that every caller gets the complete response to its own request or an error. */
public final class ResponseIntegrityTest {
    private static final String LISTINGS = "/services/himal/desk/listings/";
    private static final TargetFaults TRUNCATE =
            new TargetFaults(0, false, 1, false, true, false, null, 0, false);
    private static final TargetFaults STALL =
            new TargetFaults(0, false, 1, true, false, false, null, 0, false);
    private static final int ROUNDS = 8;
    private static final int CALLERS = 12;

    /** More than the slots of all targets, fewer than the queues hold. */
    private static final int CONCURRENT_CALLERS = 45;

    /** Exceeds all buffers on the path. */
    private static final long RESPONSE_BYTES = 64L * 1024 * 1024;

    private TestFleet mFleet;

    @BeforeClass
    public void startFleet() {
        mFleet = TestFleet.start(3, 3);
    }

    @AfterMethod
    public void clearFaults() {
        mFleet.platform().setFaults(TargetFaults.NONE);
    }

    @AfterClass
    public void stopFleet() {
        mFleet.close();
    }

    /** Responses of one chunk and of many chunks. */
    @DataProvider
    public Object[][] truncatedPaths() {
        return new Object[][] {{"short"}, {"long?bytes=300000"}};
    }

    // Guards against truncated responses that look complete to the caller.
    @Test(dataProvider = "truncatedPaths")
    public void truncatedResponseIsNeverForwardedAsComplete(String path) {
        mFleet.platform().setFaults(TRUNCATE);
        for (EntryVm vm : mFleet.vms()) {
            CompletableFuture<AggregatedHttpResponse> response =
                    HttpCalls.getAsync(vm.callerEndpoint(), LISTINGS + path);
            boolean failed =
                    response.handle((complete, failure) -> failure != null || !isSuccess(complete))
                            .join();
            assertTrue(failed, "A truncated response was forwarded as complete.");
        }
    }

    private static boolean isSuccess(AggregatedHttpResponse response) {
        return response.status().isSuccess();
    }

    // Guards against responses delivered to the wrong caller when they arrive out of order.
    @Test
    public void reorderedResponsesReachTheirOwnCallers() {
        for (int round = 0; round < ROUNDS; round++) {
            varySpeeds(round);
            Map<String, CompletableFuture<AggregatedHttpResponse>> responses =
                    new LinkedHashMap<>();
            for (int number = 0; number < CALLERS; number++) {
                EntryVm vm = mFleet.vms().get(number % mFleet.vms().size());
                String path = "/listings/" + round + "-" + number + "-";
                responses.put(
                        path,
                        HttpCalls.getAsync(vm.callerEndpoint(), "/services/himal/desk" + path));
                SlowReader.start(vm.callerEndpoint(), LISTINGS + "left?bytes=" + RESPONSE_BYTES)
                        .awaitStarted()
                        .cancel();
            }
            responses.forEach(ResponseIntegrityTest::assertOwnResponse);
        }
    }

    // Guards against responses delivered to the wrong caller after queueing and retries.
    @Test
    public void queuedCallersGetTheirOwnResponseOrRefusal() {
        int served = 0;
        for (int round = 0; round < ROUNDS; round++) {
            varySpeeds(round);
            List<SlowReader> cancelledReaders = startCancelledReaders();
            Map<String, CompletableFuture<AggregatedHttpResponse>> responses =
                    new LinkedHashMap<>();
            for (int number = 0; number < CONCURRENT_CALLERS; number++) {
                EntryVm vm = mFleet.vms().get(number % mFleet.vms().size());
                String path = "/listings/crowd-" + round + "-" + number + "-";
                responses.put(
                        path,
                        HttpCalls.getAsync(vm.callerEndpoint(), "/services/himal/desk" + path));
            }
            cancelledReaders.forEach(reader -> reader.awaitStarted().cancel());
            served += countServed(responses);
        }
        assertTrue(served >= ROUNDS * CONCURRENT_CALLERS / 2, served + " requests were served.");
    }

    private List<SlowReader> startCancelledReaders() {
        return mFleet.vms().stream()
                .map(
                        vm ->
                                SlowReader.start(
                                        vm.callerEndpoint(),
                                        LISTINGS + "left?bytes=" + RESPONSE_BYTES))
                .toList();
    }

    private static int countServed(
            Map<String, CompletableFuture<AggregatedHttpResponse>> responses) {
        int served = 0;
        for (Map.Entry<String, CompletableFuture<AggregatedHttpResponse>> entry :
                responses.entrySet()) {
            AggregatedHttpResponse response = entry.getValue().join();
            if (response.status().code() == 503) {
                assertEquals(
                        response.headers().get("x-outcome"), "not-run", response.contentUtf8());
            } else {
                assertOwnResponse(entry.getKey(), entry.getValue());
                served++;
            }
        }
        return served;
    }

    private void varySpeeds(int round) {
        for (int index = 0; index < mFleet.targets().size(); index++) {
            int factor = 1 + 20 * ((index + round) % mFleet.targets().size());
            mFleet.targets()
                    .get(index)
                    .setFaults(
                            new TargetFaults(
                                    0, false, factor, false, false, false, null, 0, false));
        }
    }

    private static void assertOwnResponse(
            String path, CompletableFuture<AggregatedHttpResponse> response) {
        AggregatedHttpResponse complete = response.join();
        assertEquals(complete.status().code(), 200, complete.contentUtf8());
        assertEquals(HttpCalls.json(complete).path("path").asText(), path);
    }

    // Guards against targets running requests whose callers have disconnected.
    @Test
    public void cancellationReachesTarget() {
        long before = mFleet.platform().cancelled();
        SlowReader halfway =
                SlowReader.start(
                                mFleet.vms().get(0).callerEndpoint(),
                                LISTINGS + "halfway?bytes=" + RESPONSE_BYTES)
                        .awaitStarted();
        halfway.cancel();
        mFleet.await(
                "the partly sent response is cancelled",
                () -> mFleet.platform().cancelled() >= before + 1);

        mFleet.platform().setFaults(STALL);
        long served = mFleet.platform().served();
        var stalled =
                HttpCalls.client("h1c", mFleet.vms().get(1).callerEndpoint())
                        .get(LISTINGS + "stalled");
        CompletableFuture<AggregatedHttpResponse> complete = stalled.aggregate();
        mFleet.await("the request has started", () -> mFleet.platform().served() > served);
        assertFalse(complete.isDone());
        stalled.abort();
        expectThrows(CompletionException.class, complete::join);
        mFleet.await(
                "the stalled request is cancelled",
                () -> mFleet.platform().cancelled() >= before + 2);
    }
}
