package org.dahliapass.standins;

/**
 * The faults injected into a target; a field missing from the JSON is off.
 *
 * @param failShare the share of requests that fail with status 500, 0 to 1
 * @param failAfterRun whether a failed request is executed before the response with status 500
 * @param slowFactor the factor by which requests take longer; 0 means 1
 * @param stall requests are executed but never get a response
 * @param closeEarly the stream closes after half of the response body
 * @param healthLies the health report always says serving
 * @param loadLies the fixed number of busy slots in the load report; null for the actual number
 * @param flapPeriodMillis the request faults are active in every other period of this length, in
 *     milliseconds, starting with the first; if no request fault is set, all requests fail in these
 *     periods; 0 disables flapping
 * @param refuseConnections open and new connections to the work port are closed at once
 */
public record TargetFaults(
        double failShare,
        boolean failAfterRun,
        double slowFactor,
        boolean stall,
        boolean closeEarly,
        boolean healthLies,
        Integer loadLies,
        long flapPeriodMillis,
        boolean refuseConnections) {
    /** No faults. */
    public static final TargetFaults NONE =
            new TargetFaults(0, false, 1, false, false, false, null, 0, false);

    /** The minimum share of failing requests at which the health report says failing. */
    private static final double FAILING_SHARE = 0.5;

    /** Returns the faults that are active {@code elapsedMillis} after they were set. */
    TargetFaults at(long elapsedMillis) {
        if (flapPeriodMillis == 0) {
            return this;
        }
        if (elapsedMillis / flapPeriodMillis % 2 == 1) {
            return withWorkFaults(0, 1, false, false);
        }
        boolean hasOtherFault = stall || closeEarly || slowFactor > 1;
        return failShare > 0 || hasOtherFault ? this : withWorkFaults(1, 1, false, false);
    }

    /** Returns the factor by which requests take longer. */
    double slowdown() {
        return slowFactor > 0 ? slowFactor : 1;
    }

    boolean isFailing() {
        return stall || failShare >= FAILING_SHARE;
    }

    private TargetFaults withWorkFaults(double share, double slow, boolean stalls, boolean closes) {
        return new TargetFaults(
                share,
                failAfterRun,
                slow,
                stalls,
                closes,
                healthLies,
                loadLies,
                flapPeriodMillis,
                refuseConnections);
    }
}
