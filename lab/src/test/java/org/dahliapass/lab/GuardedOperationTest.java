package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.util.Map;
import org.dahliapass.entry.EntryVm;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests at-most-once execution end to end, with HTTP and messages between VMs. */
public final class GuardedOperationTest {
    private static final String SIGN_OFF = "/services/himal/desk/sign-offs/7";

    private TestFleet mFleet;

    @BeforeClass
    public void startFleet() {
        mFleet = TestFleet.start(3, 3);
    }

    @AfterClass
    public void stopFleet() {
        mFleet.close();
    }

    private String token() {
        EntryVm home = mFleet.vms().get(0);
        AggregatedHttpResponse response =
                TestFleet.post(home.callerEndpoint(), SIGN_OFF, "not a key");
        assertEquals(response.status().code(), 428);
        return response.headers().get("x-operation-token");
    }

    private int runs(String key) {
        return mFleet.targets().stream()
                .map(target -> target.state().runs())
                .mapToInt((Map<String, Integer> runs) -> runs.getOrDefault(key, 0))
                .sum();
    }

    // Guards against a second run when a completed operation is repeated at another VM.
    @Test
    public void repeatedKeyGetsRecordedResponseAtEveryVm() {
        String key = token() + ".repeated";
        AggregatedHttpResponse first =
                TestFleet.post(mFleet.vms().get(0).callerEndpoint(), SIGN_OFF, key);
        assertEquals(first.status().code(), 200);
        for (EntryVm vm : mFleet.vms()) {
            AggregatedHttpResponse repeated = TestFleet.post(vm.callerEndpoint(), SIGN_OFF, key);
            assertEquals(
                    repeated.contentUtf8(), first.contentUtf8(), repeated.headers().toString());
        }
        assertEquals(runs(key), 1);
    }

    // Guards against running an operation whose outcome was already reported as not run.
    @Test
    public void operationQueriedBeforeArrivalIsNeverRun() {
        String key = token() + ".asked-first";
        EntryVm other = mFleet.vms().get(1);
        AggregatedHttpResponse outcome =
                TestFleet.get(other.callerEndpoint(), "/outcomes/himal/" + key);
        assertEquals(outcome.headers().get("x-outcome"), "not-run");
        AggregatedHttpResponse late =
                TestFleet.post(mFleet.vms().get(0).callerEndpoint(), SIGN_OFF, key);
        assertEquals(late.headers().get("x-outcome"), "not-run");
        assertEquals(runs(key), 0);
    }
}
