package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ThreadBacklog}. */
public final class ThreadBacklogTest {
    private static final long OBJECTIVE = 600;
    private static final long REMAINING = 1_200;

    private ThreadBacklog<Long> mBacklog;

    @BeforeMethod
    public void create() {
        mBacklog = new ThreadBacklog<>();
    }

    /** Three times as many requests as the thread can start, for three seconds. */
    @Test
    public void noRequestWaitsForLongerThanHalfOfItsObjectiveAndTheThreadStaysBusy() {
        int started = 0;
        int rejected = 0;
        long longest = 0;
        for (long now = 0; now < 3_000; now += 2) {
            if (mBacklog.startsInTime(OBJECTIVE, REMAINING)) {
                mBacklog.add(now);
            } else {
                rejected++;
            }
            if (now % 6 == 0) {
                Optional<Long> arrival = mBacklog.next(now);
                started += arrival.isPresent() ? 1 : 0;
                longest = Math.max(longest, now - arrival.orElse(now));
            }
        }
        assertEquals(started, 500);
        assertTrue(rejected > 800, rejected + " rejected");
        assertTrue(longest <= OBJECTIVE / 2 + 30, "waited " + longest);
    }

    @Test
    public void requestsAreStartedInOrderOfArrival() {
        mBacklog.add(1L);
        mBacklog.add(2L);
        assertEquals(mBacklog.next(10), Optional.of(1L));
        assertEquals(mBacklog.next(10), Optional.of(2L));
        assertEquals(mBacklog.next(10), Optional.empty());
    }

    /** The time in which nothing waited says nothing about the speed of the thread. */
    @Test
    public void idleTimeIsNotCounted() {
        mBacklog.add(1L);
        mBacklog.next(0);
        mBacklog.add(2L);
        mBacklog.next(60_000);
        mBacklog.add(3L);
        assertEquals(mBacklog.expectedWaitMillis(), 0);
        assertTrue(mBacklog.startsInTime(OBJECTIVE, REMAINING));
    }

    /** A request with little time left can't wait for as long as others. */
    @Test
    public void shortDeadlineBoundsTheWait() {
        for (long entry = 0; entry < 200; entry++) {
            mBacklog.add(entry);
        }
        for (long now = 0; now < 400; now += 4) {
            mBacklog.next(now);
        }
        assertTrue(mBacklog.startsInTime(10_000, 10_000));
        assertFalse(mBacklog.startsInTime(10_000, 100));
    }
}
