package org.dahliapass.decisions.admission;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Decides whether this VM leaves a free slot of a service to other VMs at which requests wait that
 * come first.
 *
 * <p>Only requests that come later yield, so two VMs don't wait for each other. Not thread-safe;
 * guarded by the service's lock.
 */
public final class SlotYielding {
    /** The assumed interval until the first report, in milliseconds. */
    private static final long DEFAULT_INTERVAL_MILLIS = 100;

    private final WaitingElsewhere mElsewhere;
    private final HeldRequests mHeld;
    private final boolean mIsByCustomer;
    private final RandomGenerator mRandom;
    private final long[] mPauseEndMillis = new long[AdmissionOrder.LOWEST_LEVEL + 1];
    private long mIntervalMillis = DEFAULT_INTERVAL_MILLIS;
    private int mYielded;

    /**
     * Creates a decision that has left no slot.
     *
     * @param elsewhere the requests that wait at other VMs
     * @param held what each customer holds
     * @param sharing whether customers that hold more of the fleet yield on the same level
     * @param random draws whether a slot is left
     */
    public SlotYielding(
            WaitingElsewhere elsewhere,
            HeldRequests held,
            CustomerSharing sharing,
            RandomGenerator random) {
        mElsewhere = elsewhere;
        mHeld = held;
        mIsByCustomer = sharing.isReported();
        mRandom = random;
    }

    /** Sets the interval of this VM's reports, for which a slot is left, in milliseconds. */
    public void setIntervalMillis(long intervalMillis) {
        mIntervalMillis = intervalMillis;
    }

    /** Records that this VM has released a slot, which is decided on anew. */
    public void onSlotReleased() {
        Arrays.fill(mPauseEndMillis, 0);
    }

    /** Returns whether the requests of a level may not use the free slots, which were left. */
    public boolean isPaused(int level, long nowMillis) {
        return nowMillis < mPauseEndMillis[level];
    }

    /**
     * Decides whether the free slot that a request would get is left to other VMs. If it is, the
     * level and those below it are paused.
     *
     * @param level the level of the request
     * @param customer its customer
     * @param ownWaiting the requests that wait on the level at this VM, with this one
     * @param nowMillis the current time, in milliseconds
     */
    public boolean tryYield(int level, String customer, int ownWaiting, long nowMillis) {
        double waiting = mElsewhere.aboveLevel(level, nowMillis);
        if (mIsByCustomer) {
            waiting += mElsewhere.ofSmallerCustomers(level, mHeld, customer, nowMillis);
        }
        if (waiting == 0 || mRandom.nextDouble() * (waiting + ownWaiting) >= waiting) {
            return false;
        }
        Arrays.fill(mPauseEndMillis, level, mPauseEndMillis.length, nowMillis + mIntervalMillis);
        mYielded++;
        return true;
    }

    /** Returns the number of slots that were left since the last call. */
    public int drainYielded() {
        int yielded = mYielded;
        mYielded = 0;
        return yielded;
    }
}
