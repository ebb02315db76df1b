package org.dahliapass.kernel;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that changes only when it is advanced, for tests and simulations. Thread-safe. */
public final class ManualClock extends Clock {
    private volatile Instant mNow;

    /** Creates a clock set to the given time. */
    public ManualClock(Instant start) {
        mNow = start;
    }

    /** Advances the clock. */
    public synchronized void advance(Duration duration) {
        mNow = mNow.plus(duration);
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
