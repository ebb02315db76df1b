package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.util.Map;
import org.dahliapass.entry.EntryVm;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Checks at most once through the whole path, with real HTTP and messages between VMs. */
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
        AggregatedHttpResponse answer =
                TestFleet.post(home.callerEndpoint(), SIGN_OFF, "not a key");
        assertEquals(answer.status().code(), 428);
        return answer.headers().get("x-operation-token");
    }

    private int runs(String key) {
        return mFleet.targets().stream()
                .map(target -> target.state().runs())
                .mapToInt((Map<String, Integer> runs) -> runs.getOrDefault(key, 0))
                .sum();
    }

    // A coach repeats a sign-off at every VM after its first answer. Each VM gives the recorded
    // answer of the one run, because the key names the VM that ran it.
    @Test
    public void repeatedKeyAtAnyVmGetsRecordedAnswer() {
        String key = token() + ".repeated";
        AggregatedHttpResponse first =
                TestFleet.post(mFleet.vms().get(0).callerEndpoint(), SIGN_OFF, key);
        assertEquals(first.status().code(), 200);
        for (EntryVm vm : mFleet.vms()) {
            AggregatedHttpResponse again = TestFleet.post(vm.callerEndpoint(), SIGN_OFF, key);
            assertEquals(again.contentUtf8(), first.contentUtf8(), again.headers().toString());
        }
        assertEquals(runs(key), 1);
    }

    // A caller asks for an outcome before its request arrives. It is told "not run"; the late
    // request then is refused, so that the answer stays true.
    @Test
    public void askedForFirstIsNeverRun() {
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
