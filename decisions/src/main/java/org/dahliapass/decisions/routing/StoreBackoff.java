package org.dahliapass.decisions.routing;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter for calls to the store.
 *
 * <p>The store counts every call, including the calls that it rejects, and all VMs retry at once
 * when the store is unavailable. The delay doubles with each failed call up to a maximum. The
 * jitter keeps VMs that failed together from retrying at the same time.
 *
 * <p>Not thread-safe.
 */
public final class StoreBackoff {
    /** Covers one lost response or a restart of the store's front end. */
    private static final long INITIAL_DELAY_MILLIS = 350;

    /** Changes must be in force within seconds of the store's recovery. */
    private static final long MAX_DELAY_MILLIS = 1_500;

    private final RandomGenerator mRandom;
    private long mDelayMillis = INITIAL_DELAY_MILLIS;
    private long mRetryAtMillis = Long.MIN_VALUE;

    /**
     * Creates a backoff without a pending delay.
     *
     * @param random the source of the jitter
     */
    public StoreBackoff(RandomGenerator random) {
        mRandom = random;
    }

    /** Resets the delay after the store responded. */
    public void onSuccess() {
        mDelayMillis = INITIAL_DELAY_MILLIS;
        mRetryAtMillis = Long.MIN_VALUE;
    }

    /** Starts the next, longer delay after a call that the store did not respond to. */
    public void onFailure(long nowMillis) {
        // Half of the delay is fixed and the other half is jitter.
        long jittered = mDelayMillis / 2 + mRandom.nextLong(mDelayMillis / 2 + 1);
        mRetryAtMillis = nowMillis + jittered;
        mDelayMillis = Math.min(MAX_DELAY_MILLIS, mDelayMillis * 2);
    }

    /** Returns the time until the next call is allowed, in milliseconds; 0 if it is allowed now. */
    public long remainingMillis(long nowMillis) {
        return mRetryAtMillis <= nowMillis ? 0 : mRetryAtMillis - nowMillis;
    }
}
