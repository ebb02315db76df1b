package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.standins.StoreCall;
import org.dahliapass.standins.StoreFaults;
import org.testng.annotations.Test;

/** Checks that the fleet serves on without the configuration store. */
public final class StoreOutageTest {
    private static final StoreFaults AWAY = new StoreFaults(true, true, 0, 0);
    private static final int ROUNDS = 30;
    private static final int FAILED_CALLS = 6;

    // The store closes every connection from now on. Field teams notice nothing: listings are
    // served and sign-offs run once at every VM, since neither asks the store anything.
    @Test
    public void requestsAndOperationsGoOn() {
        try (TestFleet fleet = TestFleet.start(3, 3)) {
            long before = calls(fleet);
            fleet.store().setFaults(AWAY);
            for (int round = 0; round < ROUNDS; round++) {
                serveOnce(fleet, round);
            }
            fleet.await("VMs miss the store", () -> calls(fleet) >= before + FAILED_CALLS);
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
