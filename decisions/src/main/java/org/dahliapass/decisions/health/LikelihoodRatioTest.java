package org.dahliapass.decisions.health;

/**
 * Wald's sequential probability ratio test on a target's work against its peers'.
 *
 * <p>The score is the logarithm of how much likelier the seen work is if the target is sick than if
 * it is like its peers. The score is taken over every window that ends now and the highest counts
 * (Page's cumulative sum), so a target that was well for long is found as fast as a new one. While
 * a target is well, a bound of {@code b} is crossed less than once in {@code exp(b)} pieces of work
 * (Lorden). The bound is therefore the logarithm of the work in the time for which the false
 * ejection tolerance is promised, divided by that tolerance.
 */
final class LikelihoodRatioTest {
    /** Nothing is taken for more reliable than this, however long it went well. */
    private static final double LOWEST_FAILURE_RATE = 0.005;

    /**
     * Failures and successes that peers are credited with beyond what was seen.
     *
     * <p>Guards against the first moments of a fault that all targets share: the few peers seen so
     * far may by chance all have done well. The credit is soon outweighed.
     */
    private static final double PRIOR_FAILURES = 1;

    private static final double PRIOR_WORK = 2;

    /** How many standard deviations the others' failures may have been too few by chance. */
    private static final double DOUBT_DEVIATIONS = 2;

    private static final double HIGHEST_RATE = 0.98;

    /** Latencies spread at least this much: the standard deviation of their logarithm. */
    private static final double LOWEST_DEVIATION = 0.4;

    /** The least work for which a bound is set; less would make the first failures decide. */
    private static final double LEAST_WORK = 100;

    private LikelihoodRatioTest() {}

    /** Returns the bound that a healthy target crosses with at most the tolerance's chance. */
    static double bound(double tolerance, double piecesOfWork) {
        return Math.log(Math.max(LEAST_WORK, piecesOfWork) / tolerance);
    }

    /** Returns the failure rate that peers' work shows. */
    static double nullRate(Counts peers) {
        double rate = (peers.mFailures + PRIOR_FAILURES) / (peers.total() + PRIOR_WORK);
        return Math.min(HIGHEST_RATE, Math.max(LOWEST_FAILURE_RATE, rate));
    }

    /**
     * Returns the highest failure rate that the work of others leaves likely.
     *
     * <p>Guards against a fault that all share: others may not have failed yet by chance.
     */
    static double nullRateUpperBound(Counts others) {
        double failures = others.mFailures + PRIOR_FAILURES;
        double doubt = DOUBT_DEVIATIONS * Math.sqrt(failures);
        return Math.min(HIGHEST_RATE, (failures + doubt) / (others.total() + PRIOR_WORK));
    }

    /** Returns the score for failing more than the peers by {@code failureShare} of the work. */
    static double failureScore(Counts own, double nullRate, double failureShare) {
        double sickRate = nullRate + (1 - nullRate) * failureShare;
        return own.mFailures * Math.log(sickRate / nullRate)
                + own.allSuccesses() * Math.log((1 - sickRate) / (1 - nullRate));
    }

    /** Returns the score for being slower than the peers by {@code slowFactor}. */
    static double slownessScore(Counts own, Counts peers, double slowFactor) {
        if (own.mSuccesses == 0 || peers.mSuccesses == 0) {
            return 0;
        }
        double shift = Math.log(slowFactor);
        double excess = own.mLogSum - own.mSuccesses * (peers.meanLogLatency() + shift / 2);
        return shift * excess / variance(peers);
    }

    /** Returns the variance of the logarithm of the latency. */
    static double variance(Counts peers) {
        double mean = peers.meanLogLatency();
        double spread = peers.mLogSquareSum / peers.mSuccesses - mean * mean;
        return Math.max(LOWEST_DEVIATION * LOWEST_DEVIATION, spread);
    }
}
