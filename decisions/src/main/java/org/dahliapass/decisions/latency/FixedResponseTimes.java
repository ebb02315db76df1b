package org.dahliapass.decisions.latency;

/**
 * A response time distribution of a fixed shape.
 *
 * <p>The survival function is 1 / (1 + 10 r^2) for r times the overdue time: a log-logistic
 * approximation of log-normal response times with a logarithmic standard deviation of 0.8.
 *
 * @param overdueAfterMillis the time after which a response is overdue, in milliseconds
 */
public record FixedResponseTimes(long overdueAfterMillis) implements ResponseTimeCurve {
    /** The odds that a response of a healthy target arrives before it is overdue. */
    private static final double OVERDUE_ODDS = 10;

    @Override
    public double survivalProbability(long ageMillis) {
        double overdueRatio = (double) Math.max(0, ageMillis) / Math.max(1, overdueAfterMillis);
        return 1 / (1 + OVERDUE_ODDS * overdueRatio * overdueRatio);
    }

    @Override
    public boolean isLost(long ageMillis) {
        return ageMillis >= 2 * overdueAfterMillis;
    }
}
