package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;

import org.dahliapass.model.VmIdentity;
import org.testng.annotations.Test;

/** Checks for how long a witness that gave no word is passed over. */
public final class WitnessReachTest {
    private static final VmIdentity WITNESS = new VmIdentity("vm-2", 7);
    private static final long SILENT_AT = 1_000_000;
    private static final long LAST = SILENT_AT + WitnessReach.REMEMBERED_MILLIS - 1;

    @Test
    public void silenceIsRememberedForAWhile() {
        WitnessReach reach = new WitnessReach();
        reach.onSilence(WITNESS, SILENT_AT);
        assertEquals(reach.silentAtMillis(WITNESS, LAST), SILENT_AT);
        assertEquals(reach.silentAtMillis(WITNESS, LAST + 1), 0);
    }

    @Test
    public void wordEndsSilence() {
        WitnessReach reach = new WitnessReach();
        reach.onSilence(WITNESS, SILENT_AT);
        reach.onWord(WITNESS);
        assertEquals(reach.silentAtMillis(WITNESS, SILENT_AT), 0);
    }

    @Test
    public void otherLifeIsNotSilent() {
        WitnessReach reach = new WitnessReach();
        reach.onSilence(WITNESS, SILENT_AT);
        assertEquals(reach.silentAtMillis(new VmIdentity("vm-2", 8), SILENT_AT), 0);
    }
}
