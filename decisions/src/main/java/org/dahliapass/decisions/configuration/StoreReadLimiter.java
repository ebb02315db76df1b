package org.dahliapass.decisions.configuration;

/**
 * A rate limiter for a VM's reads of the store, so that a fleet that lost its state doesn't
 * overload the store.
 */
final class StoreReadLimiter {
    private final long mIntervalMillis;
    private long mNextMillis = Long.MIN_VALUE;
    private long mReads;

    StoreReadLimiter(long intervalMillis) {
        mIntervalMillis = intervalMillis;
    }

    long reads() {
        return mReads;
    }

    /** Acquires permission for one read; returns false if the interval has not elapsed. */
    boolean tryAcquire(long nowMillis) {
        if (nowMillis < mNextMillis) {
            return false;
        }
        mNextMillis = nowMillis + mIntervalMillis;
        mReads++;
        return true;
    }

    /** Counts a read by a watcher, which is not limited. */
    void recordUnthrottled() {
        mReads++;
    }
}
