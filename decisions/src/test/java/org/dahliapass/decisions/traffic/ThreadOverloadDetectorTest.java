package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link ThreadOverloadDetector}. */
public final class ThreadOverloadDetectorTest {
    private static final long CHECK = 100;

    private final ThreadOverloadDetector mLateness = new ThreadOverloadDetector();

    /**
     * Callers give up on most of their requests, and next to none is refused. A VM gets more than
     * its thread can do: at 70 requests/s on 0.3 cores its checks ran 100 to 723 ms late, each
     * later than the one before, and all that came waited in that line until its caller left.
     */
    @Test
    public void threadThatFallsFurtherBehindRefuses() {
        long[] late = {71, 101, 289, 431, 502, 723};
        long now = 0;
        for (long millis : late) {
            mLateness.onScheduled(now + CHECK, now);
            now += CHECK + millis;
            mLateness.onRun(now);
        }
        mLateness.onScheduled(now + CHECK, now);
        assertTrue(mLateness.isOverloaded(now));
    }

    /** A request that waits beside a pause would be served if nobody refused it. */
    @Test
    public void shortStallRefusesNobody() {
        mLateness.onScheduled(CHECK, 0);
        assertFalse(mLateness.isOverloaded(CHECK + 250));
        assertEquals(mLateness.onRun(CHECK + 250), 250);
        mLateness.onScheduled(2 * CHECK + 250, CHECK + 250);
        assertEquals(mLateness.onRun(2 * CHECK + 255), 5);
        assertFalse(mLateness.isOverloaded(2 * CHECK + 255));
    }

    @Test
    public void threadThatHasCaughtUpTakesRequestsAgain() {
        mLateness.onScheduled(CHECK, 0);
        mLateness.onRun(1_000);
        mLateness.onScheduled(1_000 + CHECK, 1_000);
        assertTrue(mLateness.isOverloaded(1_050));
        mLateness.onRun(1_000 + CHECK);
        assertFalse(mLateness.isOverloaded(1_000 + CHECK));
    }

    /** Time in which nothing was in flight says nothing of the thread. */
    @Test
    public void idleThreadIsNotBehind() {
        mLateness.onScheduled(CHECK, 0);
        mLateness.onRun(CHECK);
        mLateness.onIdle();
        assertFalse(mLateness.isOverloaded(60_000));
        mLateness.onScheduled(60_000 + CHECK, 60_000);
        assertFalse(mLateness.isOverloaded(60_050));
    }
}
