package org.dahliapass.decisions.traffic;

import org.dahliapass.model.RequestKind;

/**
 * Estimates the probability that an attempt will get no response, from the state of its target and
 * its own age.
 *
 * <p>The age matters because a target may hang on some of its requests and respond to others, which
 * keep the estimate of its state low. Not thread-safe; guarded by the service's lock. A call is
 * O(requests in flight to the target and VMs that report it).
 */
public final class AttemptLossEstimator {
    /** Keeps the odds finite. */
    private static final double MAX_PRIOR = 0.999;

    private final ServiceTimeEstimator mTimes;
    private final PassiveFailureDetector mFailureDetector;

    /**
     * Creates an estimator.
     *
     * @param times estimates when a response is overdue
     * @param failureDetector estimates the loss probability of targets
     */
    public AttemptLossEstimator(
            ServiceTimeEstimator times, PassiveFailureDetector failureDetector) {
        mTimes = times;
        mFailureDetector = failureDetector;
    }

    /**
     * Returns the probability that an attempt without a response is lost, from 0 to 1.
     *
     * <p>The prior is the loss probability of the target when the attempt was sent or now,
     * whichever is larger: a target that has recovered since may still have dropped the request.
     * Where response times are learned, it is at least the share of recent attempts without a
     * response: targets that hang in short periods look healthy when most of their losses begin.
     */
    public double lossProbability(RequestKind kind, RunningAttempt attempt, long nowMillis) {
        double prior =
                Math.max(
                        attempt.initialLossProbability(),
                        mFailureDetector.lossProbabilityWithout(
                                attempt.attempt(), attempt.target(), nowMillis));
        if (mTimes.learnsResponseTimes()) {
            prior = Math.max(prior, mFailureDetector.silenceRate());
        }
        double bounded = Math.min(prior, MAX_PRIOR);
        double survival =
                mTimes.responseTimes(kind).survivalProbability(nowMillis - attempt.startedMillis());
        double odds = bounded / (1 - bounded) / survival;
        return odds / (1 + odds);
    }
}
