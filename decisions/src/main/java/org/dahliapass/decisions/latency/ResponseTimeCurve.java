package org.dahliapass.decisions.latency;

/** The distribution of the response times of healthy targets. */
public interface ResponseTimeCurve {
    /**
     * Returns the share of the responses of healthy targets that take longer than a time, above 0.
     *
     * @param ageMillis the time, in milliseconds
     */
    double survivalProbability(long ageMillis);

    /** Returns the time after which a response is overdue, in milliseconds. */
    long overdueAfterMillis();

    /**
     * Returns whether an attempt without a response is reported as lost.
     *
     * @param ageMillis the time since it was sent, in milliseconds
     */
    boolean isLost(long ageMillis);
}
