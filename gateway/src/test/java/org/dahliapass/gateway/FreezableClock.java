package org.dahliapass.gateway;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.util.concurrent.CountDownLatch;
import org.dahliapass.kernel.MonotonicClock;

/** A clock that can hold up the traffic thread, as a VM that is short of processor time does. */
final class FreezableClock extends Clock implements AutoCloseable {
    private static final String THREAD = "traffic";

    private final Clock mClock = new MonotonicClock();
    private volatile CountDownLatch mResumed = new CountDownLatch(0);

    /** Blocks the traffic thread when it next reads the clock, which it does at each poll. */
    void freeze() {
        mResumed = new CountDownLatch(1);
    }

    /** Lets the traffic thread continue. */
    void resume() {
        mResumed.countDown();
    }

    /** Resumes, so that a test that fails while the clock is frozen doesn't hang. */
    @Override
    public void close() {
        resume();
    }

    @Override
    public ZoneId getZone() {
        return mClock.getZone();
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return mClock.withZone(zone);
    }

    @Override
    public Instant instant() {
        if (Thread.currentThread().getName().equals(THREAD)) {
            awaitResumed();
        }
        return mClock.instant();
    }

    private void awaitResumed() {
        try {
            mResumed.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
