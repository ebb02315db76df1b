package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests of {@link RegistrationPacing}. */
public final class RegistrationPacingTest {
    private static final int VMS = 3_700;
    private static final int WRITES_PER_SECOND = 1_200;
    private static final int WRITES_PER_VM = 2;

    @Test
    public void smallFleetRegistersAtOnce() {
        assertEquals(new RegistrationPacing(400).window(36), Duration.ofMillis(360));
    }

    /** Guards against a fleet whose registrations exceed the writes that the store allows. */
    @Test
    public void largeFleetKeepsToTheWriteLimit() {
        RegistrationPacing pacing = new RegistrationPacing(WRITES_PER_SECOND);
        SplittableRandom random = new SplittableRandom(1);
        int[] writes = new int[(int) pacing.window(VMS).toSeconds() + 1];
        for (int vm = 0; vm < VMS; vm++) {
            writes[(int) (pacing.delayMillis(VMS, random) / 1_000)] += WRITES_PER_VM;
        }
        assertTrue(
                Arrays.stream(writes).max().orElseThrow() < WRITES_PER_SECOND,
                Arrays.toString(writes));
    }
}
