package org.dahliapass.lab.latency;

import java.time.Clock;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.locks.LockSupport;

/** Paces by a clock and parks the thread until the time has come. */
final class ClockPacer implements Pacer {
    private final Clock mClock;
    private final Instant mStart;

    ClockPacer(Clock clock) {
        mClock = clock;
        mStart = clock.instant();
    }

    @Override
    public long nowNanos() {
        return ChronoUnit.NANOS.between(mStart, mClock.instant());
    }

    @Override
    public void awaitNanos(long timeNanos) {
        long left = timeNanos - nowNanos();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = timeNanos - nowNanos();
        }
    }
}
