package org.dahliapass.lab.fleet;

import java.util.ArrayList;
import java.util.List;

/** Counts what a run earned. */
final class FleetTally {
    private static final long WINDOW_MILLIS = 2_000;

    private final List<double[]> mWindows = new ArrayList<>();
    private double mOwed;
    private double mEarned;
    private int mRequests;
    private int mServed;
    private int mRefused;
    private int mFailed;
    private int mTries;
    private int mBadTries;

    /** Takes a request that arrived. */
    void onArrival(RequestLoad load, long elapsedMillis) {
        mRequests++;
        mOwed += load.payoff();
        window(elapsedMillis)[0] += load.payoff();
    }

    /** Takes a whole answer. */
    void onServed(RequestLoad load, long arrivalMillis, long tookMillis) {
        mServed++;
        boolean late = tookMillis > load.kind().lateAfter().toMillis();
        double payoff = late ? load.latePayoff() : load.payoff();
        mEarned += payoff;
        window(arrivalMillis)[1] += payoff;
    }

    void onRefused() {
        mRefused++;
    }

    void onFailed() {
        mFailed++;
    }

    void onTry() {
        mTries++;
    }

    void onBadTry() {
        mBadTries++;
    }

    private double[] window(long elapsedMillis) {
        int index = (int) (elapsedMillis / WINDOW_MILLIS);
        while (mWindows.size() <= index) {
            mWindows.add(new double[2]);
        }
        return mWindows.get(index);
    }

    FleetFigures figures() {
        double worst =
                mWindows.stream()
                        .filter(window -> window[0] > 0)
                        .mapToDouble(window -> window[1] / window[0])
                        .sorted()
                        .limit(2)
                        .average()
                        .orElse(0);
        double requests = Math.max(1, mRequests);
        return new FleetFigures(
                mEarned / Math.max(1, mOwed),
                mServed / requests,
                mRefused / requests,
                mFailed / requests,
                worst,
                (mTries - mRequests) / requests,
                mBadTries / (double) Math.max(1, mTries));
    }
}
