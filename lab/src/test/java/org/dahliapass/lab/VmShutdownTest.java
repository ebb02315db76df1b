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

/** Checks that a planned stop of a VM cuts off nothing and loses nobody. */
public final class VmShutdownTest {
    private static final Duration ASK_TIME_TO_LIVE = Duration.ofSeconds(1);
    private static final long BYTES = 64L * 1024 * 1024;
    private static final TargetFaults SLOW =
            new TargetFaults(0, false, 1000, false, false, false, null, 0, false);

    // A field team downloads a long listing and a senior signs off a selection, both through a VM
    // that is then stopped as planned. Other VMs' asks stop naming it; callers that still hold its
    // address are served until their answer's time to live is over. Sign-off and listing arrive
    // whole, and only then the VM is gone: it drains what it has begun.
    @Test
    public void leavingVmCutsNothingAndLosesNobody() {
        try (TestFleet fleet = TestFleet.start(3, 3, ASK_TIME_TO_LIVE)) {
            EntryVm leaver = fleet.vms().get(0);
            EntryVm other = fleet.vms().get(1);
            String key = fleet.token(leaver, other) + ".leaving";
            SlowReader listing = startListing(leaver.callerEndpoint());
            CompletableFuture<AggregatedHttpResponse> signOff = startSignOff(fleet, leaver, key);

            CompletableFuture<Void> left = fleet.shutDown(leaver);
            Instant lastAsk = awaitUnnamed(fleet, leaver.callerEndpoint(), other.callerEndpoint());
            serveUntil(fleet, leaver.callerEndpoint(), lastAsk.plus(ASK_TIME_TO_LIVE));

            assertEquals(signOff.join().status().code(), 200);
            assertEquals(fleet.platform().runs(key), 1);
            assertFalse(left.isDone(), "The VM stopped with a listing in flight.");
            assertEquals(listing.resume().join(), BYTES);
            left.orTimeout(TestPlatform.LIMIT.toSeconds(), TimeUnit.SECONDS).join();
        }
    }

    private static SlowReader startListing(Endpoint vm) {
        return SlowReader.start(vm, "/services/himal/desk/listings/long?bytes=" + BYTES)
                .awaitStarted();
    }

    private static CompletableFuture<AggregatedHttpResponse> startSignOff(
            TestFleet fleet, EntryVm vm, String key) {
        fleet.platform().setFaults(SLOW);
        CompletableFuture<AggregatedHttpResponse> signOff =
                HttpCalls.post(vm.callerEndpoint(), "/services/himal/desk/sign-offs/7", key);
        fleet.await("the sign-off has begun", () -> fleet.platform().runs(key) == 1);
        fleet.platform().setFaults(TargetFaults.NONE);
        return signOff;
    }

    /** Returns when an ask named the address last, or the time of the first ask. */
    private static Instant awaitUnnamed(TestFleet fleet, Endpoint leaver, Endpoint asked) {
        Instant[] last = {fleet.clock().instant()};
        fleet.await(
                "asks stop naming the VM",
                () -> {
                    Instant before = fleet.clock().instant();
                    boolean named =
                            HttpCalls.discover(asked).stream()
                                    .anyMatch(found -> found.address().equals(leaver.toString()));
                    last[0] = named ? before : last[0];
                    return !named;
                });
        return last[0];
    }

    private static void serveUntil(TestFleet fleet, Endpoint vm, Instant end) {
        int number = 0;
        while (fleet.clock().instant().isBefore(end)) {
            AggregatedHttpResponse answer =
                    HttpCalls.get(vm, "/services/himal/desk/listings/held-" + number++);
            assertEquals(answer.status().code(), 200, answer.contentUtf8());
        }
    }
}
