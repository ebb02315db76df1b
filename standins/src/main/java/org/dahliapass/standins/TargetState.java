package org.dahliapass.standins;

import java.time.Clock;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** A target's slots, counts, drain and faults; the counts are the tests' oracle. */
public final class TargetState {
    /**
     * What the load report says.
     *
     * @param busySlots how many slots are taken
     * @param slots how many there are
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

    /** Takes a slot; false if all are busy. */
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

    /** Counts a request that begins real work. */
    synchronized void countServed() {
        mServed++;
    }

    synchronized void countCancelled() {
        mCancelled++;
    }

    /** Counts a run of the key's operation and returns how often it ran so far. */
    synchronized int countRun(String key) {
        return mRuns.merge(key, 1, Integer::sum);
    }

    synchronized RequestOutcome drawOutcome() {
        return RequestOutcome.draw(faultsInForce(), mRandom);
    }

    /** Returns how long work that begins now takes, in milliseconds. */
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

    /** Returns the load report, a lie if the faults say so. */
    public synchronized Load load() {
        Integer lie = mFaults.loadLies();
        return new Load(lie != null ? lie : mBusySlots, mSettings.slots());
    }

    /** Returns how often each idempotency key's operation ran. */
    public synchronized Map<String, Integer> runs() {
        return new TreeMap<>(mRuns);
    }

    /** Returns how many requests began real work. */
    public synchronized long served() {
        return mServed;
    }

    /** Returns how many requests their clients cancelled while they held a slot. */
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
