package org.dahliapass.decisions.health;

import org.dahliapass.model.DetectionPolicy;

/** The scores of one target at one place over each window, summed over the request kinds. */
final class TargetScore {
    /** The scores of a target of which a place saw nothing. */
    static final TargetScore EMPTY = new TargetScore();

    private final WindowScore[] mWindows = new WindowScore[WindowedCounts.WINDOWS];

    TargetScore() {
        for (int window = 0; window < WindowedCounts.WINDOWS; window++) {
            mWindows[window] = new WindowScore();
        }
    }

    /** Returns the scores over one window. */
    WindowScore window(int window) {
        return mWindows[window];
    }

    double highestFailure() {
        double highest = 0;
        for (WindowScore window : mWindows) {
            for (FailureSeverity sickness : FailureSeverity.values()) {
                highest = Math.max(highest, window.failure(sickness));
            }
        }
        return highest;
    }

    /** The scores over one window. */
    static final class WindowScore {
        private final Counts mWork = new Counts();
        private double mPartial;
        private double mSevere;
        private double mPartialProbes;
        private double mSevereProbes;
        private double mSlowness;
        private double mExcessLog;
        private double mExcessVariance;

        void addProbes(Counts own, double nullRate, DetectionPolicy policy) {
            // A gray target answers probes and fails work: a good probe never clears anybody.
            mPartialProbes = Math.max(0, score(FailureSeverity.PARTIAL, own, nullRate, policy));
            mSevereProbes = Math.max(0, score(FailureSeverity.SEVERE, own, nullRate, policy));
        }

        void addFailures(Counts own, double nullRate, DetectionPolicy policy) {
            mWork.add(own);
            mPartial += score(FailureSeverity.PARTIAL, own, nullRate, policy);
            mSevere += score(FailureSeverity.SEVERE, own, nullRate, policy);
        }

        private static double score(
                FailureSeverity sickness, Counts own, double nullRate, DetectionPolicy policy) {
            return LikelihoodRatioTest.failureScore(own, nullRate, sickness.failureShare(policy));
        }

        void addLatency(Counts own, Counts peers, DetectionPolicy policy) {
            if (peers.mSuccesses == 0) {
                return;
            }
            mSlowness += LikelihoodRatioTest.slownessScore(own, peers, policy.slowFactor());
            mExcessLog += own.mLogSum - own.mSuccesses * peers.meanLogLatency();
            mExcessVariance += own.mSuccesses * LikelihoodRatioTest.variance(peers);
        }

        /** Returns the score for failing; failed probes count only where no work went well. */
        double failure(FailureSeverity sickness) {
            double work = sickness == FailureSeverity.PARTIAL ? mPartial : mSevere;
            double probes = sickness == FailureSeverity.PARTIAL ? mPartialProbes : mSevereProbes;
            return mWork.mSuccesses > 0 ? work : work + probes;
        }

        double slowness() {
            return mSlowness;
        }

        /** Returns the sum over good work of the logarithm of latency over the peers' mean. */
        double excessLog() {
            return mExcessLog;
        }

        /** Returns the variance that this sum has if the target is like its peers. */
        double excessVariance() {
            return mExcessVariance;
        }

        /** Returns the real work. */
        Counts work() {
            return mWork;
        }
    }
}
