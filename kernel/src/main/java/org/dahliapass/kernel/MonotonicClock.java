package org.dahliapass.kernel;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that starts at the wall-clock time and advances with {@link System#nanoTime()}.
 *
 * <p>Leases and timeouts stay correct when the wall clock is adjusted while the process runs.
 */
public final class MonotonicClock extends Clock {
    private final Instant mStart = Instant.now();
    private final long mStartNanos = System.nanoTime();

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return Clock.offset(this, Duration.ZERO).withZone(zone);
    }

    @Override
    public Instant instant() {
        return mStart.plusNanos(System.nanoTime() - mStartNanos);
    }
}
