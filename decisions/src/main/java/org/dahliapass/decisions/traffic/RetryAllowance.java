package org.dahliapass.decisions.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.ToIntFunction;

/**
 * One VM's part of the retries that a service may have beside a share of its requests.
 *
 * <p>The parts of all VMs must not exceed the whole in any window, although VMs start and end and
 * know different plans. So the larger part is for VMs that have settled: a VM that begins to take
 * callers waits until those whose part it takes over have learned of it and a window has passed,
 * and a VM that may have missed a plan holds none. All VMs that use such a part in a window were
 * then in the same plan at one moment before, and each divides it by the highest number of VMs that
 * it knew since.
 *
 * <p>Half of the rest is divided among all VMs at any time, so that one that has just started, or
 * is cut off, can retry a single failure. The other half covers the VMs that start again and those
 * that others don't count.
 *
 * <p>Thread-safe.
 */
public final class RetryAllowance {
    /** How long a VM without an answer of the store holds its part, in milliseconds. */
    private static final long MAX_UNANSWERED_MILLIS = 4_000;

    /** How long a VM is known in its role before it holds the part of that role. */
    private static final long SETTLING_MILLIS = RetryBudget.WINDOW_MILLIS + MAX_UNANSWERED_MILLIS;

    /** The plans that are kept; older ones of the settling time count as one. */
    private static final int MAX_SAMPLES = 32;

    /** The share of the whole for the VMs that have settled and take callers. */
    private static final double SETTLED_SHARE = 0.4;

    /** The share of the whole for the VMs that take callers, at any time. */
    private static final double CALLERS_SHARE = 0.1;

    /** The share of the whole for all VMs, at any time. */
    private static final double ANY_VM_SHARE = 0.2;

    /** The most that a VM has at any time, since it may know a few VMs only. */
    private static final double MAX_UNSETTLED_RETRIES = 1;

    private static final long NEVER = Long.MAX_VALUE;

    private final double mFleetRetries;
    private final Deque<Sample> mSamples = new ArrayDeque<>();
    private long mAdvertisedSince = NEVER;

    /** The numbers of VMs of a plan and the time from which it was in force. */
    private record Sample(long millis, int vms, int advertisedVms) {
        /** Returns a sample that counts as long as the next one, with the highest numbers. */
        private Sample highest(Sample next) {
            return new Sample(
                    next.millis,
                    Math.max(vms, next.vms),
                    Math.max(advertisedVms, next.advertisedVms));
        }
    }

    /**
     * Creates a part that is empty until the first plans are known.
     *
     * @param fleetRetries the retries of all VMs together
     */
    public RetryAllowance(double fleetRetries) {
        mFleetRetries = fleetRetries;
    }

    /**
     * Records a plan.
     *
     * @param vms the number of registered VMs
     * @param advertisedVms the number of VMs that take callers
     * @param isAdvertised whether this VM takes callers
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void onPlan(
            int vms, int advertisedVms, boolean isAdvertised, long nowMillis) {
        mAdvertisedSince = since(isAdvertised, mAdvertisedSince, nowMillis);
        evict(nowMillis);
        mSamples.addLast(new Sample(nowMillis, vms, advertisedVms));
        if (mSamples.size() > MAX_SAMPLES) {
            mSamples.addFirst(mSamples.removeFirst().highest(mSamples.removeFirst()));
        }
    }

    private static long since(boolean holds, long since, long nowMillis) {
        if (!holds) {
            return NEVER;
        }
        return since == NEVER ? nowMillis : since;
    }

    /** Removes samples of plans that were replaced before the settling time. */
    private void evict(long nowMillis) {
        while (mSamples.size() > 1) {
            Sample first = mSamples.removeFirst();
            if (nowMillis - mSamples.getFirst().millis() < SETTLING_MILLIS) {
                mSamples.addFirst(first);
                return;
            }
        }
    }

    /**
     * Returns the retries that this VM may make in any window beside the share of its requests.
     *
     * @param answeredMillis when the store last answered this VM, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized double retries(long answeredMillis, long nowMillis) {
        double unsettled = unsettledRetries(nowMillis);
        boolean isUpToDate = nowMillis - answeredMillis <= MAX_UNANSWERED_MILLIS;
        return isUpToDate && isSettled(mAdvertisedSince, nowMillis)
                ? unsettled + SETTLED_SHARE * mFleetRetries / highest(Sample::advertisedVms)
                : unsettled;
    }

    /**
     * Returns the part of the retries that needs no settling.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized double unsettledRetries(long nowMillis) {
        evict(nowMillis);
        double retries = ANY_VM_SHARE * mFleetRetries / highest(Sample::vms);
        if (mAdvertisedSince != NEVER) {
            retries += CALLERS_SHARE * mFleetRetries / highest(Sample::advertisedVms);
        }
        return Math.min(MAX_UNSETTLED_RETRIES, retries);
    }

    private static boolean isSettled(long sinceMillis, long nowMillis) {
        return sinceMillis != NEVER && nowMillis - sinceMillis >= SETTLING_MILLIS;
    }

    private int highest(ToIntFunction<Sample> count) {
        return Math.max(1, mSamples.stream().mapToInt(count).max().orElse(1));
    }
}
