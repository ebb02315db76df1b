package org.dahliapass.decisions.health;

/**
 * Wald's sequential probability ratio test of a target against its peers.
 *
 * <p>The score is the log-likelihood ratio of the observed outcomes under the hypotheses that the
 * target is faulty and that it behaves like its peers. Taking the highest score over all windows
 * that end now (Page's cumulative sum) detects a new fault of a long-healthy target without delay.
 * A healthy target crosses a bound of {@code b} less than once per {@code exp(b)} requests
 * (Lorden).
 */
final class LikelihoodRatioTest {
    /** No target is taken for more reliable than this, however long it had no failures. */
    private static final double MIN_FAILURE_RATE = 0.005;

    /**
     * Prior failures of the peers. The prior avoids false detections at the onset of a fault that
     * affects all targets, while the sample of the peers is still small.
     */
    private static final double PRIOR_FAILURES = 1;

    private static final double PRIOR_REQUESTS = 2;

    /** The standard deviations by which the peers' failures may be too few by chance. */
    private static final double CONFIDENCE_DEVIATIONS = 2;

    private static final double MAX_FAILURE_RATE = 0.98;

    /** The minimum standard deviation of the logarithm of the latency. */
    private static final double MIN_LOG_LATENCY_DEVIATION = 0.4;

    /** Keeps the first few failures from reaching the bound. */
    private static final double MIN_REQUESTS_FOR_BOUND = 100;

    private LikelihoodRatioTest() {}

    /**
     * Returns the score that a healthy target reaches with at most a given probability.
     *
     * @param tolerance the probability of a false detection
     * @param requests the number of requests that the tolerance applies to
     */
    static double bound(double tolerance, double requests) {
        return Math.log(Math.max(MIN_REQUESTS_FOR_BOUND, requests) / tolerance);
    }

    /** Returns the estimated failure rate of the peers. */
    static double nullRate(Counts peers) {
        double rate = (peers.mFailures + PRIOR_FAILURES) / (peers.total() + PRIOR_REQUESTS);
        return Math.min(MAX_FAILURE_RATE, Math.max(MIN_FAILURE_RATE, rate));
    }

    /**
     * Returns an upper confidence bound of the failure rate that other VMs observed.
     *
     * <p>At the onset of a fault that affects all VMs, the others may not have observed failures
     * yet.
     */
    static double nullRateUpperBound(Counts others) {
        double failures = others.mFailures + PRIOR_FAILURES;
        double margin = CONFIDENCE_DEVIATIONS * Math.sqrt(failures);
        return Math.min(MAX_FAILURE_RATE, (failures + margin) / (others.total() + PRIOR_REQUESTS));
    }

    /** Returns the score for a failure rate above the peers by {@code failureShare}. */
    static double failureScore(Counts target, double nullRate, double failureShare) {
        double faultyRate = nullRate + (1 - nullRate) * failureShare;
        return target.mFailures * Math.log(faultyRate / nullRate)
                + target.allSuccesses() * Math.log((1 - faultyRate) / (1 - nullRate));
    }

    /** Returns the score for a latency of {@code slowFactor} times the latency of the peers. */
    static double slownessScore(Counts target, Counts peers, double slowFactor) {
        if (target.mSuccesses == 0 || peers.mSuccesses == 0) {
            return 0;
        }
        double shift = Math.log(slowFactor);
        double excess =
                target.mLogLatencySum - target.mSuccesses * (peers.meanLogLatency() + shift / 2);
        return shift * excess / variance(peers);
    }

    /** Returns the variance of the logarithm of the latency. */
    static double variance(Counts peers) {
        double mean = peers.meanLogLatency();
        double variance = peers.mLogLatencySquareSum / peers.mSuccesses - mean * mean;
        return Math.max(MIN_LOG_LATENCY_DEVIATION * MIN_LOG_LATENCY_DEVIATION, variance);
    }
}
