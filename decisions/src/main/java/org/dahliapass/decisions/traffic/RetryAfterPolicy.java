package org.dahliapass.decisions.traffic;

import java.util.random.RandomGenerator;

/** Tells refused callers when to come back: when there may be room, and not all at once. */
final class RetryAfterPolicy {
    private static final long FLOOR_MILLIS = 1_000;
    private static final long CEILING_MILLIS = 60_000;
    private static final double JITTER_SHARE = 0.5;

    private final RandomGenerator mRandom;

    RetryAfterPolicy(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Returns a time from now in milliseconds.
     *
     * <p>Guards against refused callers that all come back in the same second and are refused
     * again: the times are spread over half as long again.
     *
     * @param waitMillis when there may be room, in milliseconds from now
     */
    long delayMillis(long waitMillis) {
        long base = Math.min(CEILING_MILLIS, Math.max(FLOOR_MILLIS, waitMillis));
        return base + (long) (base * JITTER_SHARE * mRandom.nextDouble());
    }
}
