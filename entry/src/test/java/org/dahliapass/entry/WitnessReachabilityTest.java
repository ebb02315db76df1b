package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;

import org.dahliapass.model.VmIdentity;
import org.testng.annotations.Test;

/** Checks for how long a witness that gave no word is passed over. */
public final class WitnessReachabilityTest {
    private static final VmIdentity WITNESS = new VmIdentity("vm-2", 7);
    private static final long TIMEOUT_AT = 1_000_000;
    private static final long LAST_RETAINED = TIMEOUT_AT + WitnessReachability.RETENTION_MILLIS - 1;

    @Test
    public void silenceIsRememberedForAWhile() {
        WitnessReachability reach = new WitnessReachability();
        reach.onTimeout(WITNESS, TIMEOUT_AT);
        assertEquals(reach.lastTimeoutMillis(WITNESS, LAST_RETAINED), TIMEOUT_AT);
        assertEquals(reach.lastTimeoutMillis(WITNESS, LAST_RETAINED + 1), 0);
    }

    @Test
    public void wordEndsSilence() {
        WitnessReachability reach = new WitnessReachability();
        reach.onTimeout(WITNESS, TIMEOUT_AT);
        reach.onReply(WITNESS);
        assertEquals(reach.lastTimeoutMillis(WITNESS, TIMEOUT_AT), 0);
    }

    @Test
    public void otherLifeIsNotSilent() {
        WitnessReachability reach = new WitnessReachability();
        reach.onTimeout(WITNESS, TIMEOUT_AT);
        assertEquals(reach.lastTimeoutMillis(new VmIdentity("vm-2", 8), TIMEOUT_AT), 0);
    }
}
