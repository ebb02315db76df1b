package org.dahliapass.decisions.configuration;

/**
 * Spaces a VM's reads of the store.
 *
 * <p>Guards against a fleet that loses its state at once and floods the store, which would show as
 * a store that answers nobody. It holds because each VM reads at most once in each pause.
 */
final class StoreReadLimiter {
    private final long mPauseMillis;
    private long mNextMillis = Long.MIN_VALUE;
    private long mReads;

    StoreReadLimiter(long pauseMillis) {
        mPauseMillis = pauseMillis;
    }

    long reads() {
        return mReads;
    }

    /** Takes one read if it may be done now. */
    boolean tryAcquire(long nowMillis) {
        if (nowMillis < mNextMillis) {
            return false;
        }
        mNextMillis = nowMillis + mPauseMillis;
        mReads++;
        return true;
    }

    /** Counts a read that a watcher's duty brings and that isn't spaced. */
    void recordUnthrottled() {
        mReads++;
    }
}
