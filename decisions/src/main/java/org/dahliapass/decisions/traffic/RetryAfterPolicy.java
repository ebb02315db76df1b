package org.dahliapass.decisions.traffic;

import java.util.random.RandomGenerator;

/** Computes Retry-After times with jitter, so that refused callers don't all retry at once. */
final class RetryAfterPolicy {
    private static final long MIN_MILLIS = 1_000;
    private static final long MAX_MILLIS = 60_000;
    private static final double JITTER_SHARE = 0.5;

    private final RandomGenerator mRandom;

    RetryAfterPolicy(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Returns the delay until a retry, in milliseconds.
     *
     * @param waitMillis the expected wait for capacity, in milliseconds
     */
    long delayMillis(long waitMillis) {
        long base = Math.min(MAX_MILLIS, Math.max(MIN_MILLIS, waitMillis));
        return base + (long) (base * JITTER_SHARE * mRandom.nextDouble());
    }
}
