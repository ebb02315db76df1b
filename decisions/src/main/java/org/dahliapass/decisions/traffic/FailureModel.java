package org.dahliapass.decisions.traffic;

/**
 * A two-state failure model (Gilbert-Elliott) of the targets of one service, whose parameters are
 * estimated online: how often healthy targets start to fail, how long failure periods last, and the
 * failure rate in each state.
 *
 * <p>The parameters differ by service and change over time. Each one starts from a weak prior, and
 * older evidence is discounted. {@link TargetStateEstimator} reports failure periods when they end.
 *
 * <p>Not thread-safe; guarded by the service's lock.
 */
final class FailureModel {
    /** One onset in 30 seconds of healthy time. */
    private static final double PRIOR_ONSETS = 1;

    private static final double PRIOR_HEALTHY_MILLIS = 30_000;

    /** Two failure periods of 5 seconds each, since targets fail for several seconds at a time. */
    private static final double PRIOR_FAILURE_PERIODS = 2;

    private static final double PRIOR_FAILING_MILLIS = 10_000;

    /** A failure rate of two thirds while failing. */
    private static final double PRIOR_FAILED_WHEN_FAILING = 2;

    private static final double PRIOR_ATTEMPTS_WHEN_FAILING = 3;

    /** A failure rate of 1% while healthy. */
    private static final double PRIOR_FAILED_WHEN_HEALTHY = 1;

    private static final double PRIOR_ATTEMPTS_WHEN_HEALTHY = 100;

    /** Half of the failures while failing are silent. */
    private static final double PRIOR_SILENT = 1;

    private static final double PRIOR_FAILURES = 2;

    /**
     * All failure period counts are halved beyond this number, so that old evidence fades. It is
     * enough to know a rate within a fifth, and few enough to follow a changed service within some
     * minutes.
     */
    private static final double MAX_FAILURE_PERIODS = 40;

    /**
     * The healthy attempt counts are halved beyond this number. A failure rate of 1% is then known
     * within a fifth.
     */
    private static final double MAX_HEALTHY_ATTEMPTS = 4_000;

    /** A target below this failure rate can't be distinguished from a healthy one. */
    private static final double MIN_FAILURE_RATE_WHEN_FAILING = 0.3;

    /** Keeps the two states distinguishable when healthy targets fail often. */
    private static final double MAX_FAILURE_RATE_WHEN_HEALTHY = 0.1;

    private double mOnsets;
    private double mHealthyMillis;
    private double mFailurePeriods;
    private double mFailingMillis;
    private double mFailedWhenFailing;
    private double mAttemptsWhenFailing;
    private double mSilentWhenFailing;
    private double mFailedWhenHealthy;
    private double mAttemptsWhenHealthy;

    /** Records time during which a target was healthy, in milliseconds. */
    void onHealthyTime(long millis) {
        mHealthyMillis += millis;
    }

    /** Records the start of a failure period. */
    void onOnset() {
        mOnsets++;
        if (mOnsets > MAX_FAILURE_PERIODS) {
            mOnsets /= 2;
            mHealthyMillis /= 2;
        }
    }

    /**
     * Records a failure period that has ended.
     *
     * @param millis its duration in milliseconds
     * @param failed the attempts that failed during it
     * @param silent the failed attempts without a response
     * @param attempts all attempts that ended during it
     */
    void onFailurePeriod(long millis, int failed, int silent, int attempts) {
        mFailurePeriods++;
        mFailingMillis += millis;
        mFailedWhenFailing += failed;
        mSilentWhenFailing += silent;
        mAttemptsWhenFailing += attempts;
        if (mFailurePeriods > MAX_FAILURE_PERIODS) {
            mFailurePeriods /= 2;
            mFailingMillis /= 2;
            mFailedWhenFailing /= 2;
            mSilentWhenFailing /= 2;
            mAttemptsWhenFailing /= 2;
        }
    }

    /** Records attempts that ended at a healthy target. */
    void onHealthyAttempts(int failed, int attempts) {
        mFailedWhenHealthy += failed;
        mAttemptsWhenHealthy += attempts;
        if (mAttemptsWhenHealthy > MAX_HEALTHY_ATTEMPTS) {
            mFailedWhenHealthy /= 2;
            mAttemptsWhenHealthy /= 2;
        }
    }

    /** Returns the rate at which a healthy target starts to fail, per millisecond. */
    double onsetPerMilli() {
        return (PRIOR_ONSETS + mOnsets) / (PRIOR_HEALTHY_MILLIS + mHealthyMillis);
    }

    /** Returns the rate at which a failing target recovers, per millisecond. */
    double recoveryPerMilli() {
        return (PRIOR_FAILURE_PERIODS + mFailurePeriods) / (PRIOR_FAILING_MILLIS + mFailingMillis);
    }

    /**
     * Returns the stationary probability that a target is failing, which applies to an unobserved
     * one.
     */
    double failingShare() {
        return onsetPerMilli() / (onsetPerMilli() + recoveryPerMilli());
    }

    /** Returns the share of attempts that fail at a failing target. */
    double failureRateWhenFailing() {
        double rate =
                (PRIOR_FAILED_WHEN_FAILING + mFailedWhenFailing)
                        / (PRIOR_ATTEMPTS_WHEN_FAILING + mAttemptsWhenFailing);
        return Math.max(MIN_FAILURE_RATE_WHEN_FAILING, rate);
    }

    /** Returns the share of failures at a failing target that have no response. */
    double silentShareWhenFailing() {
        return (PRIOR_SILENT + mSilentWhenFailing) / (PRIOR_FAILURES + mFailedWhenFailing);
    }

    /**
     * Returns the probability that an attempt at a failing target has no response yet.
     *
     * @param whenHealthy the probability at a healthy target
     */
    double silenceWhenFailing(double whenHealthy) {
        double silentShare = failureRateWhenFailing() * silentShareWhenFailing();
        return (1 - failureRateWhenFailing()) * whenHealthy + silentShare;
    }

    /** Returns the share of attempts that fail at a healthy target. */
    double failureRateWhenHealthy() {
        double rate =
                (PRIOR_FAILED_WHEN_HEALTHY + mFailedWhenHealthy)
                        / (PRIOR_ATTEMPTS_WHEN_HEALTHY + mAttemptsWhenHealthy);
        return Math.min(MAX_FAILURE_RATE_WHEN_HEALTHY, rate);
    }
}
