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
        return withJitter(base);
    }

    /**
     * Returns the delay until a retry after a rest of the targets, in milliseconds. Unlike an
     * estimate, a rest is neither shortened nor extended to a minimum.
     *
     * @param restMillis the time until the first target may get a request, in milliseconds
     */
    long afterRestMillis(long restMillis) {
        return withJitter(restMillis);
    }

    private long withJitter(long millis) {
        return millis + (long) (millis * JITTER_SHARE * mRandom.nextDouble());
    }
}
