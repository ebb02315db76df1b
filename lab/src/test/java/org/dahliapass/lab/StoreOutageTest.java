package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.standins.StoreCall;
import org.dahliapass.standins.StoreFaults;
import org.testng.annotations.Test;

/** Tests that the fleet keeps serving without the configuration store. */
public final class StoreOutageTest {
    private static final StoreFaults OUTAGE = new StoreFaults(true, true, 0, 0);
    private static final int ROUNDS = 30;
    private static final int FAILED_CALLS = 6;

    // Guards against requests or operations that depend on the store.
    @Test
    public void requestsAndOperationsContinueDuringStoreOutage() {
        try (TestFleet fleet = TestFleet.start(3, 3)) {
            long before = calls(fleet);
            fleet.store().setFaults(OUTAGE);
            for (int round = 0; round < ROUNDS; round++) {
                serveOnce(fleet, round);
            }
            fleet.await("calls to the store fail", () -> calls(fleet) >= before + FAILED_CALLS);
            serveOnce(fleet, ROUNDS);
        }
    }

    private static long calls(TestFleet fleet) {
        long sum = 0;
        for (StoreCall call : StoreCall.values()) {
            sum += fleet.store().calls().getOrDefault(call, 0L);
        }
        return sum;
    }

    private static void serveOnce(TestFleet fleet, int round) {
        for (int index = 0; index < fleet.vms().size(); index++) {
            EntryVm home = fleet.vms().get(index);
            EntryVm witness = fleet.vms().get((index + 1) % fleet.vms().size());
            String path = "/listings/" + round + "-" + index;
            AggregatedHttpResponse listing =
                    TestFleet.get(home.callerEndpoint(), "/services/himal/desk" + path);
            assertEquals(listing.status().code(), 200, listing.contentUtf8());
            String key = fleet.token(home, witness) + ".away-" + round;
            AggregatedHttpResponse signOff =
                    TestFleet.post(home.callerEndpoint(), "/services/himal/desk/sign-offs/7", key);
            assertEquals(signOff.status().code(), 200, signOff.contentUtf8());
            assertEquals(fleet.platform().runs(key), 1);
        }
    }
}
