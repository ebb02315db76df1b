package org.dahliapass.decisions.limits;

import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.dahliapass.model.routing.RateLimit;

/**
 * This VM's part of the rate limits of customers, which hold for the sum of all VMs.
 *
 * <p>A bucket starts with what a VM would have saved since its start, so that a restart doesn't
 * grant a burst twice. Not thread-safe.
 */
public final class FleetRateLimiter {
    /** The part of its share that a VM uses whose share the others may use already. */
    private static final double UNCERTAIN_PART = 0.4;

    /** The VMs that a VM assumes, at least, until the others have registered. */
    private static final int ASSUMED_VMS = 6;

    /** The time after a start in which other VMs may not have registered yet. */
    private static final long REGISTRATION_MILLIS = 3_000;

    /** The time for which a VM that restarts has admitted no requests, at least. */
    private static final long RESTART_MILLIS = 800;

    /** Serves the first request of a customer below its limit after a start. */
    static final double INITIAL_TOKENS = 1;

    /** A smaller bucket would refuse every request. */
    private static final double MIN_CAPACITY = 1;

    private static final int EVICTION_INTERVAL = 256;

    private final LimitTolerance mTolerance;
    private final String mSelf;
    private final SharedLimits mLimits;
    private final long mStartMillis;
    private int mAcquired;

    /**
     * Creates the limiter of a VM that starts.
     *
     * @param self the VM's name
     * @param sharing how the VMs divide a limit
     * @param tolerance by how much a limit may be exceeded
     * @param nowMillis the current time, in milliseconds
     * @param random decides between requests while few tokens are left
     */
    public FleetRateLimiter(
            String self,
            LimitSharing sharing,
            LimitTolerance tolerance,
            long nowMillis,
            RandomGenerator random) {
        mSelf = self;
        mStartMillis = nowMillis;
        mLimits = sharing.create(self, nowMillis - RESTART_MILLIS, random);
        mTolerance = tolerance;
    }

    /**
     * Updates the VMs that divide the limits among them.
     *
     * @param vms the VMs that take callers
     * @param isolated whether this VM no longer learns of changes, so that the others may have
     *     dropped it from the VMs that divide the limits
     */
    public void onVms(List<String> vms, boolean isolated, long nowMillis) {
        boolean isStarting = nowMillis - mStartMillis < REGISTRATION_MILLIS;
        boolean isCertain = isStarting || (vms.contains(mSelf) && !isolated);
        double part = isCertain ? 1 : UNCERTAIN_PART;
        double registered = Math.min(1, Math.max(1, vms.size()) / (double) ASSUMED_VMS);
        mLimits.onVms(vms, isStarting || vms.isEmpty() ? part * registered : part, nowMillis);
    }

    /**
     * Takes a token for a request of a customer if one is available.
     *
     * @return empty if a token was taken; otherwise the time until one is available, in
     *     milliseconds
     */
    public OptionalLong tryAcquire(String customer, RateLimit limit, long nowMillis) {
        if (!limit.isLimited()) {
            return OptionalLong.empty();
        }
        mAcquired++;
        if (mAcquired % EVICTION_INTERVAL == 0) {
            mLimits.evictIdle(nowMillis);
        }
        return mLimits.tryAcquire(customer, mTolerance.enforced(limit), MIN_CAPACITY, nowMillis);
    }

    /** Returns the token of a request that was not sent to any target. */
    public void release(String customer) {
        mLimits.release(customer);
    }

    /** Returns the messages that are due; call it every 100 ms while {@link #isActive}. */
    public List<LimitMessage> poll(long nowMillis) {
        return mLimits.poll(nowMillis);
    }

    /** Handles a message of another VM and returns the replies. */
    public List<LimitMessage> onMessage(LimitMessage message, long nowMillis) {
        return mLimits.onMessage(message, nowMillis);
    }

    /** Returns whether messages may be due. */
    public boolean isActive() {
        return mLimits.isActive();
    }

    /** Returns the number of customers with state. */
    public int size() {
        return mLimits.size();
    }
}
