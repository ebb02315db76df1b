package org.dahliapass.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.Endpoint;

/** Counts what a run earned. */
final class FleetStatistics {
    private static final long WINDOW_MILLIS = 2_000;

    /** The share of a service's sound targets that is to stay in use. */
    static final double FLOOR_SHARE = 0.7;

    /** Targets that a request may end before all VMs are to know it. */
    private static final int ENDS_ALLOWED = 3;

    /** How long the VMs may take to know it. */
    private static final long STABLE_MILLIS = 3_000;

    private final TargetUsageTracker mSpread = new TargetUsageTracker(FLOOR_SHARE);
    private final List<double[]> mWindows = new ArrayList<>();
    private double mOwed;
    private double mEarned;
    private int mRequests;
    private int mServed;
    private int mRefused;
    private int mFailed;
    private int mTries;
    private int mBadTries;
    private int mHeldBack;
    private int mPoisonEnds;
    private int mPoisonLate;
    private long mThirdEndMillis = Long.MAX_VALUE / 2;

    /** Takes a request that arrived. */
    void onArrival(RequestLoad load, long elapsedMillis) {
        if (load.crashesTarget()) {
            return;
        }
        mRequests++;
        mOwed += load.payoff();
        window(elapsedMillis)[0] += load.payoff();
    }

    /** Takes a whole answer. */
    void onServed(RequestLoad load, long arrivalMillis, long tookMillis) {
        mServed++;
        mSpread.onServed(arrivalMillis);
        boolean late = tookMillis > load.kind().lateAfter().toMillis();
        double payoff = late ? load.latePayoff() : load.payoff();
        mEarned += payoff;
        window(arrivalMillis)[1] += payoff;
    }

    /** Takes work that reached a target. */
    void onDelivered(Endpoint target, long elapsedMillis) {
        mSpread.onDelivered(target, elapsedMillis);
    }

    /** Takes a refusal of a request that arrived then. */
    void onRefused(RequestLoad load, long arrivalMillis) {
        if (load.crashesTarget()) {
            return;
        }
        mRefused++;
        mSpread.onLost(arrivalMillis);
    }

    /** Takes the failure of a request that arrived then. */
    void onFailed(RequestLoad load, long arrivalMillis) {
        if (load.crashesTarget()) {
            return;
        }
        mFailed++;
        mSpread.onLost(arrivalMillis);
    }

    /** Takes a request that was kept from all targets, as targets ended under others like it. */
    void onQuarantined(RequestLoad load, long arrivalMillis) {
        if (!load.crashesTarget()) {
            mHeldBack++;
        }
        onRefused(load, arrivalMillis);
    }

    /** Takes that a request which ends its target reached one. */
    void onPoisonDelivered(long elapsedMillis) {
        if (elapsedMillis > mThirdEndMillis + STABLE_MILLIS) {
            mPoisonLate++;
        }
    }

    /** Takes the end of a target under a request. */
    void onPoisonCrash(long elapsedMillis) {
        mPoisonEnds++;
        if (mPoisonEnds == ENDS_ALLOWED) {
            mThirdEndMillis = elapsedMillis;
        }
    }

    void onAttempt(RequestLoad load) {
        if (!load.crashesTarget()) {
            mTries++;
        }
    }

    void onFailedAttempt() {
        mBadTries++;
    }

    private double[] window(long elapsedMillis) {
        int index = (int) (elapsedMillis / WINDOW_MILLIS);
        while (mWindows.size() <= index) {
            mWindows.add(new double[2]);
        }
        return mWindows.get(index);
    }

    /**
     * Returns what the run came to.
     *
     * @param bouts the bouts of each target
     * @param lengthMillis how long the run was
     */
    FleetResult result(
            Map<Endpoint, List<TargetUsageTracker.FailurePeriod>> bouts, long lengthMillis) {
        TargetUsageTracker.TargetUsage spread = mSpread.usage(bouts, lengthMillis);
        double worst =
                mWindows.stream()
                        .filter(window -> window[0] > 0)
                        .mapToDouble(window -> window[1] / window[0])
                        .sorted()
                        .limit(2)
                        .average()
                        .orElse(0);
        double requests = Math.max(1, mRequests);
        return new FleetResult(
                mEarned / Math.max(1, mOwed),
                mServed / requests,
                mRefused / requests,
                mFailed / requests,
                worst,
                (mTries - mRequests) / requests,
                mBadTries / (double) Math.max(1, mTries),
                spread.minUsedShare(),
                spread.windowsBelowFloor(),
                mPoisonEnds,
                mPoisonLate,
                mHeldBack / requests);
    }
}
