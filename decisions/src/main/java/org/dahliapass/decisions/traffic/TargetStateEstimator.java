package org.dahliapass.decisions.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.Endpoint;

/**
 * Estimates, for each target of a service, the probability that it is failing.
 *
 * <p>A target is a two-state Markov chain (healthy, failing) that is observed through the outcomes
 * of its attempts (a Gilbert-Elliott channel). Each outcome updates the probability by Bayes' rule;
 * between outcomes it converges to the stationary probability of {@link FailureModel}. Outcomes
 * reported by other VMs count in the same way.
 *
 * <p>Not thread-safe; guarded by the service's lock.
 */
final class TargetStateEstimator {
    /** Above this probability a failure period is recorded as started. */
    private static final double FAILING_THRESHOLD = 0.9;

    /** Below this probability a target counts as healthy. */
    private static final double HEALTHY_THRESHOLD = 0.1;

    /** Bounds the probability so that a few observations can change it. */
    private static final double MAX_PROBABILITY = 0.995;

    private static final double MIN_PROBABILITY = 0.0005;

    /** Longer gaps between two attempts say little about the time between them. */
    private static final long MAX_GAP_MILLIS = 2_000;

    private final FailureModel mModel;
    private final Map<Endpoint, TargetState> mStates = new HashMap<>();

    /** The estimated state of one target. */
    private static final class TargetState {
        private double mProbability;
        private long mLastObservedMillis;
        private boolean mLastFailed;
        private boolean mInFailurePeriod;
        private long mFailingSinceMillis;
        private long mLastFailureMillis;
        private long mLastAnsweredMillis;
        private int mFailed;
        private int mSilent;
        private int mAttempts;
        private int mAnsweredSinceFailure;
    }

    TargetStateEstimator(FailureModel model) {
        mModel = model;
    }

    /**
     * Updates the estimate with the outcome of an attempt.
     *
     * @param ratio the likelihood ratio of the outcome at a failing and at a healthy target
     * @param sentMillis when the attempt was sent, in milliseconds, which is the time that the
     *     outcome counts for
     */
    void onObservation(Endpoint target, Observation observation, double ratio, long sentMillis) {
        TargetState state = mStates.computeIfAbsent(target, unused -> newState(sentMillis));
        boolean older = sentMillis < state.mLastObservedMillis;
        if (older && observation.isFailure() != state.mLastFailed) {
            // A newer attempt had a different outcome.
            return;
        }
        double prior = predict(state, sentMillis);
        state.mProbability = posterior(prior, ratio);
        long gap = Math.max(0, sentMillis - state.mLastObservedMillis);
        state.mLastObservedMillis = Math.max(state.mLastObservedMillis, sentMillis);
        state.mLastFailed = observation.isFailure();
        if (observation.isFailure()) {
            recordFailure(state, !observation.hasResponse(), sentMillis);
        } else {
            recordResponse(state, gap, sentMillis);
        }
    }

    /**
     * Updates the estimate with evidence that is too weak to count as a failure.
     *
     * @param ratio the likelihood ratio of the evidence at a failing and at a healthy target
     * @param sentMillis when the attempt was sent, in milliseconds
     */
    void onWeakEvidence(Endpoint target, double ratio, long sentMillis) {
        TargetState state = mStates.computeIfAbsent(target, unused -> newState(sentMillis));
        if (sentMillis >= state.mLastObservedMillis) {
            state.mProbability = posterior(predict(state, sentMillis), ratio);
            state.mLastObservedMillis = sentMillis;
        }
    }

    private TargetState newState(long sentMillis) {
        TargetState state = new TargetState();
        state.mProbability = mModel.failingShare();
        state.mLastObservedMillis = sentMillis;
        state.mLastAnsweredMillis = sentMillis;
        return state;
    }

    private static double posterior(double prior, double ratio) {
        double odds = prior / (1 - prior) * ratio;
        return Math.max(MIN_PROBABILITY, Math.min(MAX_PROBABILITY, odds / (1 + odds)));
    }

    private double predict(TargetState state, long atMillis) {
        double onset = mModel.onsetPerMilli();
        double recovery = mModel.recoveryPerMilli();
        double stationary = onset / (onset + recovery);
        long age = Math.max(0, atMillis - state.mLastObservedMillis);
        return stationary + (state.mProbability - stationary) * Math.exp(-(onset + recovery) * age);
    }

    private void recordFailure(TargetState state, boolean silent, long sentMillis) {
        state.mFailed++;
        state.mSilent += silent ? 1 : 0;
        state.mAttempts += 1 + state.mAnsweredSinceFailure;
        state.mAnsweredSinceFailure = 0;
        state.mLastFailureMillis = sentMillis;
        if (state.mInFailurePeriod || state.mProbability < FAILING_THRESHOLD) {
            return;
        }
        state.mInFailurePeriod = true;
        state.mFailingSinceMillis = (state.mLastAnsweredMillis + sentMillis) / 2;
        mModel.onOnset();
    }

    private void recordResponse(TargetState state, long gap, long sentMillis) {
        state.mAnsweredSinceFailure++;
        if (state.mProbability < HEALTHY_THRESHOLD) {
            flushCounts(state, sentMillis);
        }
        if (!state.mInFailurePeriod) {
            mModel.onHealthyTime(Math.min(MAX_GAP_MILLIS, gap));
        }
        state.mLastAnsweredMillis = sentMillis;
    }

    /** Reports the counts since the target was last healthy to the failure model. */
    private void flushCounts(TargetState state, long sentMillis) {
        if (state.mInFailurePeriod) {
            long endMillis = (state.mLastFailureMillis + sentMillis) / 2;
            mModel.onFailurePeriod(
                    Math.max(1, endMillis - state.mFailingSinceMillis),
                    state.mFailed,
                    state.mSilent,
                    state.mAttempts);
            mModel.onHealthyAttempts(0, state.mAnsweredSinceFailure);
        } else {
            mModel.onHealthyAttempts(state.mFailed, state.mAttempts + state.mAnsweredSinceFailure);
        }
        state.mInFailurePeriod = false;
        state.mFailed = 0;
        state.mSilent = 0;
        state.mAttempts = 0;
        state.mAnsweredSinceFailure = 0;
    }

    /** Returns the probability that a target is failing, by the outcomes of its attempts alone. */
    double failingProbability(Endpoint target, long nowMillis) {
        TargetState state = mStates.get(target);
        return state == null ? mModel.failingShare() : predict(state, nowMillis);
    }

    /**
     * Returns when the latest attempt with a known outcome was sent, in milliseconds; 0 for never.
     */
    long lastObservedMillis(Endpoint target) {
        TargetState state = mStates.get(target);
        return state == null ? 0 : state.mLastObservedMillis;
    }

    /** Discards the state of the given targets. */
    void forget(Set<Endpoint> targets) {
        mStates.keySet().removeAll(targets);
    }

    /** Discards the state of all targets except the given ones. */
    void retain(Set<Endpoint> targets) {
        mStates.keySet().retainAll(targets);
    }
}
