package org.dahliapass.decisions.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.Endpoint;

/**
 * Holds, for each target of a service, the chance that it is in a bout of failure.
 *
 * <p>A target is a chain of two states, sound and in a bout, that is seen only through the ends of
 * its work (a Gilbert-Elliott channel). Each end changes the chance by Bayes' rule, and with the
 * time since the newest one it drifts towards the share of targets that are in a bout. So one rule
 * says how much a failure counts after a fresh proof, how long a failed target is left alone, and
 * which of several doubtful targets is worth a trial: the one that was not seen for longest. What
 * other VMs saw counts in the same way.
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. Each
 * call costs O(1).
 */
final class TargetStateEstimator {
    /** From this chance on a bout is counted as begun, for the rates. */
    private static final double SURE = 0.9;

    /** Below this chance a target counts as sound, for the rates. */
    private static final double SOUND = 0.1;

    /** Nothing is so sure that a few observations could not change it. */
    private static final double MOST_CHANCE = 0.995;

    private static final double LEAST_CHANCE = 0.0005;

    /** Longer gaps between two pieces of work say little about the time between them. */
    private static final long LONGEST_GAP_MILLIS = 2_000;

    private final FailureModel mRates;
    private final Map<Endpoint, Belief> mBeliefs = new HashMap<>();

    /** What is known of one target. */
    private static final class Belief {
        private double mChance;
        private long mSeenMillis;
        private boolean mSeenFailing;
        private boolean mInBout;
        private long mBoutFromMillis;
        private long mLastFailureMillis;
        private long mLastProofMillis;
        private int mFailed;
        private int mSilent;
        private int mWork;
        private int mAnsweredSince;
    }

    TargetStateEstimator(FailureModel rates) {
        mRates = rates;
    }

    /**
     * Takes the end of a piece of work.
     *
     * @param ratio how many times as likely that end is in a bout as at a sound target
     * @param sentMillis when the work was sent, which is the moment that its end speaks of
     */
    void onObservation(Endpoint target, Observation sign, double ratio, long sentMillis) {
        Belief belief = mBeliefs.computeIfAbsent(target, unused -> newBelief(sentMillis));
        boolean older = sentMillis < belief.mSeenMillis;
        if (older && sign.isFailure() != belief.mSeenFailing) {
            // Newer work ended otherwise, so what this one says is over.
            return;
        }
        double before = drifted(belief, sentMillis);
        belief.mChance = posterior(before, ratio);
        long gap = Math.max(0, sentMillis - belief.mSeenMillis);
        belief.mSeenMillis = Math.max(belief.mSeenMillis, sentMillis);
        belief.mSeenFailing = sign.isFailure();
        if (sign.isFailure()) {
            countFailure(belief, !sign.hasResponse(), sentMillis);
        } else {
            countAnswer(belief, gap, sentMillis);
        }
    }

    private Belief newBelief(long sentMillis) {
        Belief belief = new Belief();
        belief.mChance = mRates.failingShare();
        belief.mSeenMillis = sentMillis;
        belief.mLastProofMillis = sentMillis;
        return belief;
    }

    private static double posterior(double before, double ratio) {
        double odds = before / (1 - before) * ratio;
        return Math.max(LEAST_CHANCE, Math.min(MOST_CHANCE, odds / (1 + odds)));
    }

    private double drifted(Belief belief, long atMillis) {
        double onset = mRates.onsetPerMilli();
        double recovery = mRates.recoveryPerMilli();
        double share = onset / (onset + recovery);
        long age = Math.max(0, atMillis - belief.mSeenMillis);
        return share + (belief.mChance - share) * Math.exp(-(onset + recovery) * age);
    }

    private void countFailure(Belief belief, boolean silent, long sentMillis) {
        belief.mFailed++;
        belief.mSilent += silent ? 1 : 0;
        belief.mWork += 1 + belief.mAnsweredSince;
        belief.mAnsweredSince = 0;
        belief.mLastFailureMillis = sentMillis;
        if (belief.mInBout || belief.mChance < SURE) {
            return;
        }
        belief.mInBout = true;
        belief.mBoutFromMillis = (belief.mLastProofMillis + sentMillis) / 2;
        mRates.onOnset();
    }

    private void countAnswer(Belief belief, long gap, long sentMillis) {
        belief.mAnsweredSince++;
        if (belief.mChance < SOUND) {
            closeCounts(belief, sentMillis);
        }
        if (!belief.mInBout) {
            mRates.onHealthyTime(Math.min(LONGEST_GAP_MILLIS, gap));
        }
        belief.mLastProofMillis = sentMillis;
    }

    /** Tells the rates what was counted since the target was last known to be sound. */
    private void closeCounts(Belief belief, long sentMillis) {
        if (belief.mInBout) {
            long until = (belief.mLastFailureMillis + sentMillis) / 2;
            mRates.onFailurePeriod(
                    Math.max(1, until - belief.mBoutFromMillis),
                    belief.mFailed,
                    belief.mSilent,
                    belief.mWork);
            mRates.onHealthyAttempts(0, belief.mAnsweredSince);
        } else {
            mRates.onHealthyAttempts(belief.mFailed, belief.mWork + belief.mAnsweredSince);
        }
        belief.mInBout = false;
        belief.mFailed = 0;
        belief.mSilent = 0;
        belief.mWork = 0;
        belief.mAnsweredSince = 0;
    }

    /** Returns the chance that a target is in a bout, by the ends of its work alone. */
    double failingProbability(Endpoint target, long nowMillis) {
        Belief belief = mBeliefs.get(target);
        return belief == null ? mRates.failingShare() : drifted(belief, nowMillis);
    }

    /** Returns when the newest work of which the end is known was sent; 0 for never. */
    long lastObservedMillis(Endpoint target) {
        Belief belief = mBeliefs.get(target);
        return belief == null ? 0 : belief.mSeenMillis;
    }

    /** Forgets what is known of some targets. */
    void forget(Set<Endpoint> targets) {
        mBeliefs.keySet().removeAll(targets);
    }

    /** Forgets the targets that aren't among these. */
    void retain(Set<Endpoint> targets) {
        mBeliefs.keySet().retainAll(targets);
    }
}
