package org.dahliapass.decisions.health;

import java.util.EnumMap;
import java.util.Map;
import org.dahliapass.model.DetectionPolicy;

/** The scores of one target at one place over each window, summed over the request kinds. */
final class TargetScore {
    /** The scores of a target of which a place saw nothing. */
    static final TargetScore NOTHING_SEEN = new TargetScore();

    private final WindowScore[] mWindows = new WindowScore[WorkHistory.WINDOWS];

    TargetScore() {
        for (int window = 0; window < WorkHistory.WINDOWS; window++) {
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
            for (Sickness sickness : Sickness.values()) {
                highest = Math.max(highest, window.failure(sickness));
            }
        }
        return highest;
    }

    /** The scores over one window. */
    static final class WindowScore {
        private final Map<Sickness, Double> mFailure = new EnumMap<>(Sickness.class);
        private final Map<Sickness, Double> mProbe = new EnumMap<>(Sickness.class);
        private final Counts mWork = new Counts();
        private double mSlowness;
        private double mExcessLog;
        private double mExcessVariance;

        void addProbes(Counts own, Counts peers, DetectionPolicy policy) {
            double nullRate = LikelihoodTest.nullRate(peers);
            for (Sickness sickness : Sickness.values()) {
                double share = sickness.failureShare(policy);
                // A gray target answers probes and fails work: a good probe never clears anybody.
                double score = LikelihoodTest.failureScore(own, nullRate, share);
                mProbe.put(sickness, Math.max(0, score));
            }
        }

        void addFailures(Counts own, double nullRate, DetectionPolicy policy) {
            mWork.add(own);
            for (Sickness sickness : Sickness.values()) {
                double share = sickness.failureShare(policy);
                double score = LikelihoodTest.failureScore(own, nullRate, share);
                mFailure.merge(sickness, score, Double::sum);
            }
        }

        void addLatency(Counts own, Counts peers, DetectionPolicy policy) {
            if (peers.mSuccesses == 0) {
                return;
            }
            mSlowness += LikelihoodTest.slownessScore(own, peers, policy.slowFactor());
            mExcessLog += own.mLogSum - own.mSuccesses * peers.meanLog();
            mExcessVariance += own.mSuccesses * LikelihoodTest.variance(peers);
        }

        /** Returns the score for failing; failed probes count only where no work went well. */
        double failure(Sickness sickness) {
            double failure = mFailure.getOrDefault(sickness, 0.0);
            return mWork.mSuccesses > 0 ? failure : failure + mProbe.getOrDefault(sickness, 0.0);
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
