package org.dahliapass.decisions.routing;

import java.util.random.RandomGenerator;

/**
 * How long a VM leaves a store alone that gives it no answers.
 *
 * <p>The store counts each call, also those that it refuses, and a fleet asks with all its VMs at
 * once when the store is away. Pauses grow from one failed call to the next and are spread, so that
 * the calls neither grow with the length of an outage nor meet in one moment at its end.
 *
 * <p>Not safe for use by several threads.
 */
public final class StoreBackoff {
    /** Long enough for one lost answer or a restart of the store's front, in milliseconds. */
    private static final long FIRST_MILLIS = 350;

    /**
     * Changes must be in force within some seconds of the store's return, so no VM stays away for
     * longer, in milliseconds.
     */
    private static final long LONGEST_MILLIS = 1_500;

    private final RandomGenerator mRandom;
    private long mPauseMillis = FIRST_MILLIS;
    private long mNotBeforeMillis = Long.MIN_VALUE;

    /** Creates a pause that has not begun. */
    public StoreBackoff(RandomGenerator random) {
        mRandom = random;
    }

    /** Takes that the store answered. */
    public void onSuccess() {
        mPauseMillis = FIRST_MILLIS;
        mNotBeforeMillis = Long.MIN_VALUE;
    }

    /** Takes that the store gave no answer to a call. */
    public void onFailure(long nowMillis) {
        // Between half and all of the pause, so that VMs that failed together come back apart.
        long spread = mPauseMillis / 2 + mRandom.nextLong(mPauseMillis / 2 + 1);
        mNotBeforeMillis = nowMillis + spread;
        mPauseMillis = Math.min(LONGEST_MILLIS, mPauseMillis * 2);
    }

    /** Returns how long the store is still left alone, in milliseconds; 0 if not. */
    public long remainingMillis(long nowMillis) {
        return mNotBeforeMillis <= nowMillis ? 0 : mNotBeforeMillis - nowMillis;
    }
}
