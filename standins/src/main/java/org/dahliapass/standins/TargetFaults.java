package org.dahliapass.standins;

/**
 * A target's faults; a field left out of the JSON is off.
 *
 * @param failShare the share of work that is answered with status 500, 0 to 1
 * @param failAfterRun whether failed work ran before its 500, else it never ran
 * @param slowFactor how many times longer work takes; 0 is as 1
 * @param stall work is taken and never answered
 * @param closeEarly the body of an answer ends after its half with a closed stream
 * @param healthLies the health report says serving whatever happens
 * @param loadLies the number of busy slots that the load report always says; null for the truth
 * @param flapPeriodMillis the faults on work hold in every other period of this length, in
 *     milliseconds, the first one included; if none is set all work fails then; 0 is no flapping
 * @param refuseConnections connections to the work port are closed as soon as they are opened, and
 *     those that are open at once
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
    /** No fault. */
    public static final TargetFaults NONE =
            new TargetFaults(0, false, 1, false, false, false, null, 0, false);

    /** From this share of failing work on, an honest health report says failing. */
    private static final double FAILING_SHARE = 0.5;

    /** Returns the faults in force so many milliseconds after they were set. */
    TargetFaults at(long sinceMillis) {
        if (flapPeriodMillis == 0) {
            return this;
        }
        if (sinceMillis / flapPeriodMillis % 2 == 1) {
            return withWork(0, 1, false, false);
        }
        boolean hasOther = stall || closeEarly || slowFactor > 1;
        return failShare > 0 || hasOther ? this : withWork(1, 1, false, false);
    }

    /** Returns by how much work takes longer. */
    double slowdown() {
        return slowFactor > 0 ? slowFactor : 1;
    }

    boolean isFailing() {
        return stall || failShare >= FAILING_SHARE;
    }

    private TargetFaults withWork(double share, double slow, boolean stalls, boolean closes) {
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
