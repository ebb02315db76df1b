package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link StoreBackoff}. */
public final class StoreBackoffTest {
    private StoreBackoff mBackoff;

    @BeforeMethod
    public void createBackoff() {
        mBackoff = new StoreBackoff(new SplittableRandom(7));
    }

    @Test
    public void noDelayInitiallyAndAfterSuccess() {
        assertEquals(mBackoff.remainingMillis(0), 0);
        mBackoff.onFailure(0);
        mBackoff.onSuccess();
        assertEquals(mBackoff.remainingMillis(0), 0);
    }

    /** Guards against excessive store calls during an outage. */
    @Test
    public void delaysGrowDuringAnOutage() {
        int calls = 0;
        for (long now = 0; now < 9_000; now++) {
            if (mBackoff.remainingMillis(now) == 0) {
                calls++;
                mBackoff.onFailure(now);
            }
        }
        assertTrue(calls <= 11, "calls: " + calls);
    }

    @Test
    public void delayIsAtMostOneAndAHalfSeconds() {
        for (int failures = 0; failures < 50; failures++) {
            mBackoff.onFailure(0);
            long remaining = mBackoff.remainingMillis(0);
            assertTrue(remaining > 0 && remaining <= 1_500, "remaining: " + remaining);
        }
    }
}
