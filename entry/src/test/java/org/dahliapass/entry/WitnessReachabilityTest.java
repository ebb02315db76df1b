package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;

import org.dahliapass.model.VmIdentity;
import org.testng.annotations.Test;

/** Tests for {@link WitnessReachability}. */
public final class WitnessReachabilityTest {
    private static final VmIdentity WITNESS = new VmIdentity("vm-2", 7);
    private static final long TIMEOUT_AT = 1_000_000;
    private static final long LAST_RETAINED = TIMEOUT_AT + WitnessReachability.RETENTION_MILLIS - 1;

    @Test
    public void timeoutIsRetainedForRetentionPeriod() {
        WitnessReachability reachability = new WitnessReachability();
        reachability.onTimeout(WITNESS, TIMEOUT_AT);
        assertEquals(reachability.lastTimeoutMillis(WITNESS, LAST_RETAINED), TIMEOUT_AT);
        assertEquals(reachability.lastTimeoutMillis(WITNESS, LAST_RETAINED + 1), 0);
    }

    @Test
    public void replyClearsTimeout() {
        WitnessReachability reachability = new WitnessReachability();
        reachability.onTimeout(WITNESS, TIMEOUT_AT);
        reachability.onReply(WITNESS);
        assertEquals(reachability.lastTimeoutMillis(WITNESS, TIMEOUT_AT), 0);
    }

    @Test
    public void otherIncarnationHasNoTimeout() {
        WitnessReachability reachability = new WitnessReachability();
        reachability.onTimeout(WITNESS, TIMEOUT_AT);
        assertEquals(reachability.lastTimeoutMillis(new VmIdentity("vm-2", 8), TIMEOUT_AT), 0);
    }
}
