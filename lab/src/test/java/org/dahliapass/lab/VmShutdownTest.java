package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.model.Endpoint;
import org.dahliapass.standins.TargetFaults;
import org.testng.annotations.Test;

/** Tests that the planned stop of a VM loses no requests. */
public final class VmShutdownTest {
    private static final Duration DISCOVERY_TIME_TO_LIVE = Duration.ofSeconds(1);
    private static final long RESPONSE_BYTES = 64L * 1024 * 1024;
    private static final TargetFaults SLOW =
            new TargetFaults(0, false, 1000, false, false, false, null, 0, false);

    // Guards against a planned stop cutting off requests or callers with a cached address.
    @Test
    public void stoppingVmCompletesRequestsAndServesUntilDiscoveryExpires() {
        try (TestFleet fleet = TestFleet.start(3, 3, DISCOVERY_TIME_TO_LIVE)) {
            EntryVm leavingVm = fleet.vms().get(0);
            EntryVm other = fleet.vms().get(1);
            String key = fleet.token(leavingVm, other) + ".leaving";
            SlowReader listing = startListing(leavingVm.callerEndpoint());
            CompletableFuture<AggregatedHttpResponse> signOff = startSignOff(fleet, leavingVm, key);

            CompletableFuture<Void> stopped = fleet.shutDown(leavingVm);
            Instant lastDiscovery =
                    awaitUndiscovered(fleet, leavingVm.callerEndpoint(), other.callerEndpoint());
            serveUntil(
                    fleet, leavingVm.callerEndpoint(), lastDiscovery.plus(DISCOVERY_TIME_TO_LIVE));

            assertEquals(signOff.join().status().code(), 200);
            assertEquals(fleet.platform().runs(key), 1);
            assertFalse(stopped.isDone(), "The VM stopped with a listing in flight.");
            assertEquals(listing.resume().join(), RESPONSE_BYTES);
            stopped.orTimeout(TestPlatform.LIMIT.toSeconds(), TimeUnit.SECONDS).join();
        }
    }

    private static SlowReader startListing(Endpoint vm) {
        return SlowReader.start(vm, "/services/himal/desk/listings/long?bytes=" + RESPONSE_BYTES)
                .awaitStarted();
    }

    private static CompletableFuture<AggregatedHttpResponse> startSignOff(
            TestFleet fleet, EntryVm vm, String key) {
        fleet.platform().setFaults(SLOW);
        CompletableFuture<AggregatedHttpResponse> signOff =
                HttpCalls.post(vm.callerEndpoint(), "/services/himal/desk/sign-offs/7", key);
        fleet.await("the sign-off has started", () -> fleet.platform().runs(key) == 1);
        fleet.platform().setFaults(TargetFaults.NONE);
        return signOff;
    }

    /** Returns the time of the last discovery response with the address, or of the first query. */
    private static Instant awaitUndiscovered(
            TestFleet fleet, Endpoint leavingVm, Endpoint queried) {
        Instant[] last = {fleet.clock().instant()};
        fleet.await(
                "discovery omits the VM",
                () -> {
                    Instant before = fleet.clock().instant();
                    boolean discovered =
                            HttpCalls.discover(queried).stream()
                                    .anyMatch(
                                            address ->
                                                    address.address().equals(leavingVm.toString()));
                    last[0] = discovered ? before : last[0];
                    return !discovered;
                });
        return last[0];
    }

    private static void serveUntil(TestFleet fleet, Endpoint vm, Instant end) {
        int number = 0;
        while (fleet.clock().instant().isBefore(end)) {
            AggregatedHttpResponse response =
                    HttpCalls.get(vm, "/services/himal/desk/listings/held-" + number++);
            assertEquals(response.status().code(), 200, response.contentUtf8());
        }
    }
}
