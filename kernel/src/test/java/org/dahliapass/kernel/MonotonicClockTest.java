package org.dahliapass.kernel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Tests {@link MonotonicClock} and {@link ManualClock}. */
public final class MonotonicClockTest {
    private static final int READINGS = 100_000;

    @Test
    public void instantNeverDecreases() {
        MonotonicClock clock = new MonotonicClock();
        Instant last = clock.instant();
        for (int reading = 0; reading < READINGS; reading++) {
            Instant next = clock.instant();
            assertFalse(next.isBefore(last), next + " after " + last);
            last = next;
        }
    }

    @Test
    public void manualClockChangesOnlyWhenAdvanced() {
        ManualClock clock = new ManualClock(Instant.EPOCH);
        assertEquals(clock.millis(), 0);

        clock.advance(Duration.ofMillis(5));

        assertEquals(clock.millis(), 5);
    }
}
