package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link ThreadOverloadDetector}. */
public final class ThreadOverloadDetectorTest {
    private static final long CHECK = 100;

    private final ThreadOverloadDetector mDetector = new ThreadOverloadDetector();

    /**
     * The delays of an overloaded VM; its requests must be refused before their callers give up.
     */
    @Test
    public void threadWithGrowingDelayIsOverloaded() {
        long[] delays = {71, 101, 289, 431, 502, 723};
        long now = 0;
        for (long millis : delays) {
            mDetector.onScheduled(now + CHECK, now);
            now += CHECK + millis;
            mDetector.onRun(now);
        }
        mDetector.onScheduled(now + CHECK, now);
        assertTrue(mDetector.isOverloaded(now));
    }

    /** Refusing requests during a short pause would cost more than it saves. */
    @Test
    public void shortStallIsNoOverload() {
        mDetector.onScheduled(CHECK, 0);
        assertFalse(mDetector.isOverloaded(CHECK + 250));
        assertEquals(mDetector.onRun(CHECK + 250), 250);
        mDetector.onScheduled(2 * CHECK + 250, CHECK + 250);
        assertEquals(mDetector.onRun(2 * CHECK + 255), 5);
        assertFalse(mDetector.isOverloaded(2 * CHECK + 255));
    }

    @Test
    public void threadThatHasCaughtUpIsNotOverloaded() {
        mDetector.onScheduled(CHECK, 0);
        mDetector.onRun(1_000);
        mDetector.onScheduled(1_000 + CHECK, 1_000);
        assertTrue(mDetector.isOverloaded(1_050));
        mDetector.onRun(1_000 + CHECK);
        assertFalse(mDetector.isOverloaded(1_000 + CHECK));
    }

    @Test
    public void idleThreadIsNotOverloaded() {
        mDetector.onScheduled(CHECK, 0);
        mDetector.onRun(CHECK);
        mDetector.onIdle();
        assertFalse(mDetector.isOverloaded(60_000));
        mDetector.onScheduled(60_000 + CHECK, 60_000);
        assertFalse(mDetector.isOverloaded(60_050));
    }
}
