package org.dahliapass.lab.policy;

import org.dahliapass.decisions.health.HealthReport;

/**
 * How a target does for one VM at one moment.
 *
 * @param connectivity whether connections to it work
 * @param failureRate the share of its work that fails, beside the healthy rate
 * @param slowdown how many times longer than normal its work takes
 * @param stallMillis how long it does nothing before it goes on with its work
 * @param report what its health report says
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

    /** What becomes of an attempt to connect. */
    enum Connectivity {
        /** It succeeds. */
        OPEN,
        /** It is refused at once. */
        REFUSED,
        /** Nothing comes back. */
        SILENT
    }
}
