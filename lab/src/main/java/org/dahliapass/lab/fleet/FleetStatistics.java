package org.dahliapass.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.Endpoint;

/** Collects the counters of a simulation run. Not thread-safe. */
final class FleetStatistics {
    private static final long WINDOW_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The share of healthy targets that must stay in use. */
    static final double FLOOR_SHARE = 0.7;

    /** Crashes after which a poison request must be quarantined. */
    private static final int CRASHES_BEFORE_QUARANTINE = 3;

    /** Time allowed for the quarantine to take effect on all VMs. */
    private static final long QUARANTINE_DELAY_MILLIS = 3_000;

    private final TargetUsageTracker mUsageTracker = new TargetUsageTracker(FLOOR_SHARE);
    private final AvailabilityTracker mAvailability = new AvailabilityTracker();
    private final RequestLimitTracker mLimitTracker = new RequestLimitTracker();
    private final List<double[]> mWindows = new ArrayList<>();
    private double mMaxPayoff;
    private double mEarnedPayoff;
    private int mRequests;
    private int mServed;
    private int mRefused;
    private int mFailed;
    private int mAttempts;
    private int mFailedAttempts;
    private int mWaveArrivals;
    private int mWaveRejections;
    private int mQuarantined;
    private int mPoisonCrashes;
    private int mLatePoisonDeliveries;
    private long mQuarantineCrashMillis = Long.MAX_VALUE / 2;

    /** Records the arrival of a request. */
    void onArrival(RequestLoad load, long elapsedMillis) {
        if (load.crashesTarget()) {
            return;
        }
        mRequests++;
        mMaxPayoff += load.payoff();
        window(elapsedMillis)[0] += load.payoff();
    }

    /**
     * Records a complete response.
     *
     * @param arrivalMillis when the request arrived, since the start of the run
     */
    void onServed(RequestLoad load, long arrivalMillis, long latencyMillis) {
        mServed++;
        mUsageTracker.onServed(arrivalMillis);
        boolean late = latencyMillis > load.kind().lateAfter().toMillis();
        double payoff = late ? load.latePayoff() : load.payoff();
        mEarnedPayoff += payoff;
        window(arrivalMillis)[1] += payoff;
    }

    /** Records the delivery of a request to a target. */
    void onDelivered(Endpoint target, long elapsedMillis) {
        mUsageTracker.onDelivered(target, elapsedMillis);
    }

    /** Records that a target named its request limit in a response to a VM. */
    void onLimitNamed(int vm, Endpoint target, double limit, long elapsedMillis) {
        mLimitTracker.onNamed(vm, target, limit, elapsedMillis);
    }

    /** Records the delivery of a VM's request to a target that is limited now. */
    void onDeliveredToLimited(int vm, Endpoint target, long elapsedMillis) {
        mLimitTracker.onDelivered(vm, target, elapsedMillis);
    }

    /** Returns the tracker of targets that leave or want a rest. */
    AvailabilityTracker availability() {
        return mAvailability;
    }

    /** Records the refusal of a request that arrived at the given time. */
    void onRefused(RequestLoad load, long arrivalMillis) {
        if (load.crashesTarget()) {
            return;
        }
        mRefused++;
        mUsageTracker.onLost(arrivalMillis);
    }

    /** Records the failure of a request that arrived at the given time. */
    void onFailed(RequestLoad load, long arrivalMillis) {
        if (load.crashesTarget()) {
            return;
        }
        mFailed++;
        mUsageTracker.onLost(arrivalMillis);
    }

    /** Records the quarantine of a request that arrived at the given time. */
    void onQuarantined(RequestLoad load, long arrivalMillis) {
        if (!load.crashesTarget()) {
            mQuarantined++;
        }
        onRefused(load, arrivalMillis);
    }

    /** Records the delivery of a poison request to a running target. */
    void onPoisonDelivered(long elapsedMillis) {
        if (elapsedMillis > mQuarantineCrashMillis + QUARANTINE_DELAY_MILLIS) {
            mLatePoisonDeliveries++;
        }
    }

    /** Records the crash of a target by a poison request. */
    void onPoisonCrash(long elapsedMillis) {
        mPoisonCrashes++;
        if (mPoisonCrashes == CRASHES_BEFORE_QUARANTINE) {
            mQuarantineCrashMillis = elapsedMillis;
        }
    }

    void onAttempt(RequestLoad load) {
        if (!load.crashesTarget()) {
            mAttempts++;
        }
    }

    /** Records a request that arrives at a target after the first second of the middle third. */
    void onWaveArrival() {
        mWaveArrivals++;
    }

    /** Records that a target rejected such a request. */
    void onWaveRejection() {
        mWaveRejections++;
    }

    void onFailedAttempt() {
        mFailedAttempts++;
    }

    private double[] window(long elapsedMillis) {
        int index = (int) (elapsedMillis / WINDOW_MILLIS);
        while (mWindows.size() <= index) {
            mWindows.add(new double[2]);
        }
        return mWindows.get(index);
    }

    /**
     * Returns the results of the run.
     *
     * @param failurePeriods the failure periods of each target
     * @param lengthMillis the length of the run
     */
    FleetResult result(
            Map<Endpoint, List<TargetUsageTracker.FailurePeriod>> failurePeriods,
            long lengthMillis) {
        TargetUsageTracker.TargetUsage usage = mUsageTracker.usage(failurePeriods, lengthMillis);
        double worstWindows =
                mWindows.stream()
                        .filter(window -> window[0] > 0)
                        .mapToDouble(window -> window[1] / window[0])
                        .sorted()
                        .limit(2)
                        .average()
                        .orElse(0);
        double requests = Math.max(1, mRequests);
        return new FleetResult(
                mEarnedPayoff / Math.max(1, mMaxPayoff),
                mServed / requests,
                mRefused / requests,
                mFailed / requests,
                worstWindows,
                (mAttempts - mRequests) / requests,
                mFailedAttempts / (double) Math.max(1, mAttempts),
                usage.minUsedShare(),
                usage.windowsBelowFloor(),
                mPoisonCrashes,
                mLatePoisonDeliveries,
                mQuarantined / requests,
                mLimitTracker.worstUse(),
                mLimitTracker.meanUse(lengthMillis / (3 * MILLIS_PER_SECOND)),
                mAvailability.mostDuringRest(),
                mAvailability.lateToLeaving(),
                mAvailability.largestBurst(),
                mWaveRejections / (double) Math.max(1, mWaveArrivals));
    }
}
