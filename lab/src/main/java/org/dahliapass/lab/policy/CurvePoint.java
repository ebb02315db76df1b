package org.dahliapass.lab.policy;

import java.util.Locale;

/**
 * The detection time and the false ejections at one tolerance.
 *
 * @param deployment the deployment's name
 * @param tolerance the false ejection tolerance
 * @param isSetting whether this is the tolerance that the deployment configures
 * @param failsAllMillis the median detection time of a target that fails all requests
 * @param failsTenthMillis the median detection time of a target that fails a tenth of its requests
 * @param wrongSeconds healthy target-seconds ejected, without faults plus with short pauses
 */
record CurvePoint(
        String deployment,
        double tolerance,
        boolean isSetting,
        double failsAllMillis,
        double failsTenthMillis,
        double wrongSeconds) {
    static final String HEADER =
            String.format(
                    Locale.ROOT,
                    "%n%-9s %10s %14s %14s %10s",
                    "user",
                    "tolerance",
                    "100% p50 ms",
                    "10% p50 ms",
                    "wrong s");

    private static final double LOAD = 0.8;

    static CurvePoint measure(PolicyTable table, Deployment deployment, double tolerance) {
        Deployment changed = deployment.withTolerance(tolerance);
        return new CurvePoint(
                deployment.name(),
                tolerance,
                deployment.detection().falseEjectionTolerance() == tolerance,
                row(table, changed, Fault.FAILS_ALL).detectionMedianMillis(),
                row(table, changed, Fault.FAILS_TENTH).detectionMedianMillis(),
                row(table, changed, Fault.NONE).healthyEjectedSeconds()
                        + row(table, changed, Fault.SHORT_PAUSES).healthyEjectedSeconds());
    }

    private static ResultRow row(PolicyTable table, Deployment deployment, Fault fault) {
        return table.row(deployment, fault, PolicyVariant.CELL, LOAD);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%-9s %10.0e %14.0f %14.0f %10.1f%s",
                deployment,
                tolerance,
                failsAllMillis,
                failsTenthMillis,
                wrongSeconds,
                isSetting ? "  <- its setting" : "");
    }
}
