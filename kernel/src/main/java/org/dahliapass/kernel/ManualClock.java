package org.dahliapass.kernel;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that stands still until it is advanced; tests and experiments inject it. */
public final class ManualClock extends Clock {
    private volatile Instant mNow;

    /** Creates a clock that stands at the given time. */
    public ManualClock(Instant start) {
        mNow = start;
    }

    /** Moves the clock forward. */
    public synchronized void advance(Duration step) {
        mNow = mNow.plus(step);
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return Clock.fixed(mNow, zone);
    }

    @Override
    public Instant instant() {
        return mNow;
    }
}
