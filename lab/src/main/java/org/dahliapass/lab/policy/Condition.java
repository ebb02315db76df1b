package org.dahliapass.lab.policy;

import org.dahliapass.decisions.health.HealthReport;

/**
 * A target's condition as one VM sees it.
 *
 * @param connectivity the result of a connection attempt
 * @param failureRate the share of requests that fail in addition to the healthy rate
 * @param slowdown the factor on the service time
 * @param stallMillis the pause before a request starts, in milliseconds
 * @param report the health report that it returns
 */
record Condition(
        Connectivity connectivity,
        double failureRate,
        double slowdown,
        long stallMillis,
        HealthReport report) {
    static final Condition HEALTHY =
            new Condition(Connectivity.OPEN, 0, 1, 0, HealthReport.SERVING);
    static final Condition STOPPED =
            new Condition(Connectivity.REFUSED, 0, 1, 0, HealthReport.SERVING);
    static final Condition UNREACHABLE =
            new Condition(Connectivity.SILENT, 0, 1, 0, HealthReport.SERVING);

    static Condition failing(double rate) {
        return new Condition(Connectivity.OPEN, rate, 1, 0, HealthReport.SERVING);
    }

    static Condition slowed(double factor) {
        return new Condition(Connectivity.OPEN, 0, factor, 0, HealthReport.SERVING);
    }

    static Condition stalled(long millis) {
        return new Condition(Connectivity.OPEN, 0, 1, millis, HealthReport.SERVING);
    }

    static Condition reporting(HealthReport report, double slowdown) {
        return new Condition(Connectivity.OPEN, 0, slowdown, 0, report);
    }

    /** The result of a connection attempt. */
    enum Connectivity {
        /** Succeeds. */
        OPEN,
        /** Fails immediately. */
        REFUSED,
        /** Times out. */
        SILENT
    }
}
