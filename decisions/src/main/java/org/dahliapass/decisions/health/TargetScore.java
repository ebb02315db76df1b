package org.dahliapass.decisions.health;

import org.dahliapass.model.DetectionPolicy;

/** The scores of one target at one place over each window, summed over the request kinds. */
final class TargetScore {
    /** The scores of a target of which a place saw nothing. */
    static final TargetScore NOTHING_SEEN = new TargetScore();

    private final double[] mFailure = new double[WorkHistory.WINDOWS];
    private final double[] mProbe = new double[WorkHistory.WINDOWS];
    private final double[] mSlowness = new double[WorkHistory.WINDOWS];
    private final double[] mExcessLog = new double[WorkHistory.WINDOWS];
    private final Counts[] mWork = new Counts[WorkHistory.WINDOWS];

    TargetScore() {
        for (int window = 0; window < WorkHistory.WINDOWS; window++) {
            mWork[window] = new Counts();
        }
    }

    void add(
            int window,
            Counts own,
            Counts failurePeers,
            Counts latencyPeers,
            DetectionPolicy policy,
            boolean probes) {
        double nullRate = LikelihoodTest.nullRate(failurePeers);
        double failure = LikelihoodTest.failureScore(own, nullRate, policy.failureShare());
        if (probes) {
            // A gray target answers probes and fails work: a good probe never clears anybody.
            mProbe[window] = Math.max(0, failure);
            return;
        }
        mFailure[window] += failure;
        mWork[window].add(own);
        if (latencyPeers.mSuccesses > 0) {
            mSlowness[window] +=
                    LikelihoodTest.slownessScore(own, latencyPeers, policy.slowFactor());
            mExcessLog[window] += own.mLogSum - own.mSuccesses * latencyPeers.meanLog();
        }
    }

    /** Returns the score for failing; failed probes count only where no real work went well. */
    double failure(int window) {
        return mWork[window].mSuccesses > 0 ? mFailure[window] : mFailure[window] + mProbe[window];
    }

    double slowness(int window) {
        return mSlowness[window];
    }

    /** Returns the sum over the good work of the logarithm of latency over the peers' mean. */
    double excessLog(int window) {
        return mExcessLog[window];
    }

    /** Returns the real work in the window. */
    Counts work(int window) {
        return mWork[window];
    }

    double highestFailure() {
        double highest = 0;
        for (int window = 0; window < WorkHistory.WINDOWS; window++) {
            highest = Math.max(highest, failure(window));
        }
        return highest;
    }
}
