package org.dahliapass.kernel;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that starts at the wall time and then follows the runtime's monotonic time.
 *
 * <p>Guards against a wall clock that is set back or forth while the process runs, which would show
 * as leases and timeouts that end at once or never. It holds because only differences of {@link
 * System#nanoTime()} are added to the time read at the start.
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
