package org.dahliapass.decisions.health;

import org.dahliapass.model.DetectionPolicy;

/** The scores of one target at one vantage point over each window, summed over request kinds. */
final class TargetScore {
    /** The scores of a target without observations. */
    static final TargetScore EMPTY = new TargetScore();

    private final WindowScore[] mWindows = new WindowScore[WindowedCounts.WINDOWS];

    TargetScore() {
        for (int window = 0; window < WindowedCounts.WINDOWS; window++) {
            mWindows[window] = new WindowScore();
        }
    }

    WindowScore window(int window) {
        return mWindows[window];
    }

    double maxFailure() {
        double max = 0;
        for (WindowScore window : mWindows) {
            for (FailureSeverity severity : FailureSeverity.values()) {
                max = Math.max(max, window.failure(severity));
            }
        }
        return max;
    }

    /** The mutable scores over one window. */
    static final class WindowScore {
        private final Counts mOutcomes = new Counts();
        private double mPartialScore;
        private double mSevereScore;
        private double mPartialProbeScore;
        private double mSevereProbeScore;
        private double mSlownessScore;
        private double mExcessLogLatency;
        private double mExcessLogLatencyVariance;

        void addProbes(Counts target, double nullRate, DetectionPolicy policy) {
            // A target with a gray failure responds to probes, so only failed probes count.
            mPartialProbeScore =
                    Math.max(0, score(FailureSeverity.PARTIAL, target, nullRate, policy));
            mSevereProbeScore =
                    Math.max(0, score(FailureSeverity.SEVERE, target, nullRate, policy));
        }

        void addFailures(Counts target, double nullRate, DetectionPolicy policy) {
            mOutcomes.add(target);
            mPartialScore += score(FailureSeverity.PARTIAL, target, nullRate, policy);
            mSevereScore += score(FailureSeverity.SEVERE, target, nullRate, policy);
        }

        private static double score(
                FailureSeverity severity, Counts target, double nullRate, DetectionPolicy policy) {
            return LikelihoodRatioTest.failureScore(
                    target, nullRate, severity.failureShare(policy));
        }

        void addLatency(Counts target, Counts peers, DetectionPolicy policy) {
            if (peers.mSuccesses == 0) {
                return;
            }
            mSlownessScore += LikelihoodRatioTest.slownessScore(target, peers, policy.slowFactor());
            mExcessLogLatency += target.mLogLatencySum - target.mSuccesses * peers.meanLogLatency();
            mExcessLogLatencyVariance += target.mSuccesses * LikelihoodRatioTest.variance(peers);
        }

        /** Returns the failure score; failed probes count only if no request succeeded. */
        double failure(FailureSeverity severity) {
            double requests = severity == FailureSeverity.PARTIAL ? mPartialScore : mSevereScore;
            double probes =
                    severity == FailureSeverity.PARTIAL ? mPartialProbeScore : mSevereProbeScore;
            return mOutcomes.mSuccesses > 0 ? requests : requests + probes;
        }

        double slowness() {
            return mSlownessScore;
        }

        /** Returns the sum over all successes of the log latency above the mean of the peers. */
        double excessLogLatency() {
            return mExcessLogLatency;
        }

        /** Returns the variance of this sum for a target that behaves like its peers. */
        double excessLogLatencyVariance() {
            return mExcessLogLatencyVariance;
        }

        /** Returns the outcomes of requests, without probes. */
        Counts outcomes() {
            return mOutcomes;
        }
    }
}
