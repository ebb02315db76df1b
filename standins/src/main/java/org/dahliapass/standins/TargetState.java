package org.dahliapass.standins;

import java.time.Clock;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** The slots, request counts, drain state and faults of a target. Thread-safe. */
public final class TargetState {
    /**
     * The load report.
     *
     * @param busySlots the number of slots in use
     * @param slots the total number of slots
     */
    public record Load(int busySlots, int slots) {}

    private final TargetSettings mSettings;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final long mStartMillis;
    private final Map<String, Integer> mRuns = new TreeMap<>();
    private int mBusySlots;
    private long mServed;
    private long mCancelled;
    private boolean mDraining;
    private TargetFaults mFaults = TargetFaults.NONE;
    private long mFaultsSinceMillis;

    TargetState(TargetSettings settings, Clock clock) {
        mSettings = settings;
        mClock = clock;
        mRandom = RandomGeneratorFactory.of("L64X128MixRandom").create(settings.seed());
        mStartMillis = clock.millis();
    }

    /** Acquires a slot; returns false if all slots are busy. */
    synchronized boolean acquireSlot() {
        if (mBusySlots >= mSettings.slots()) {
            return false;
        }
        mBusySlots++;
        return true;
    }

    synchronized void releaseSlot() {
        mBusySlots--;
    }

    /** Counts a request that is executed. */
    synchronized void countServed() {
        mServed++;
    }

    synchronized void countCancelled() {
        mCancelled++;
    }

    /** Counts an execution of the key's operation and returns the number of executions so far. */
    synchronized int countRun(String key) {
        return mRuns.merge(key, 1, Integer::sum);
    }

    synchronized RequestOutcome drawOutcome() {
        return RequestOutcome.draw(faultsInForce(), mRandom);
    }

    /** Returns the service time of a request that starts now, in milliseconds. */
    synchronized long serviceTimeMillis() {
        double factor = faultsInForce().slowdown() * (isCold() ? TargetSettings.COLD_FACTOR : 1);
        return Math.round(mSettings.serviceMillis() * factor);
    }

    synchronized TargetHealth health() {
        if (mFaults.healthLies()) {
            return TargetHealth.SERVING;
        }
        if (mDraining) {
            return TargetHealth.DRAINING;
        }
        if (faultsInForce().isFailing()) {
            return TargetHealth.FAILING;
        }
        return isCold() ? TargetHealth.COLD : TargetHealth.SERVING;
    }

    /** Returns the load report; {@link TargetFaults#loadLies()} replaces the busy slots if set. */
    public synchronized Load load() {
        Integer reportedBusySlots = mFaults.loadLies();
        return new Load(
                reportedBusySlots != null ? reportedBusySlots : mBusySlots, mSettings.slots());
    }

    /** Returns the number of executions by idempotency key. */
    public synchronized Map<String, Integer> runs() {
        return new TreeMap<>(mRuns);
    }

    /** Returns the number of requests that were executed. */
    public synchronized long served() {
        return mServed;
    }

    /** Returns the number of requests that clients cancelled while they held a slot. */
    public synchronized long cancelled() {
        return mCancelled;
    }

    synchronized boolean isDraining() {
        return mDraining;
    }

    synchronized void setDraining(boolean draining) {
        mDraining = draining;
    }

    synchronized TargetFaults faults() {
        return mFaults;
    }

    synchronized void setFaults(TargetFaults faults) {
        mFaults = faults;
        mFaultsSinceMillis = mClock.millis();
    }

    private TargetFaults faultsInForce() {
        return mFaults.at(mClock.millis() - mFaultsSinceMillis);
    }

    private boolean isCold() {
        return mClock.millis() < mStartMillis + mSettings.coldMillis();
    }
}
