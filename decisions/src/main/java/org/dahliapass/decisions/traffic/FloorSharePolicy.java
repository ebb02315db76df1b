package org.dahliapass.decisions.traffic;

import java.util.List;

/**
 * Keeps the floor share of a service's healthy targets in use.
 *
 * <p>Selection by the lowest loss probability prefers recently used targets, since the uncertainty
 * about idle ones grows. Without this policy healthy targets could stay idle while capacity is
 * needed.
 *
 * <p>Not thread-safe; guarded by the service's lock. A call is O(targets).
 */
final class FloorSharePolicy {
    /** A target without requests for this long is idle, in milliseconds. */
    private static final long IDLE_MILLIS = 1_400;

    /** Additional share of targets kept in use, since some of those in use may be failing. */
    private static final double RESERVE = 0.1;

    /**
     * Above this loss rate all targets count as healthy, since lost responses make healthy targets
     * look faulty.
     */
    private static final double MAX_LOSS_RATE = 0.08;

    private final double mFloorShare;
    private final PassiveFailureDetector mFailureDetector;

    /**
     * Creates a policy.
     *
     * @param floorShare the share of the healthy targets that must stay in use; 0 for none
     */
    FloorSharePolicy(double floorShare, PassiveFailureDetector failureDetector) {
        mFloorShare = floorShare;
        mFailureDetector = failureDetector;
    }

    /**
     * Returns the targets to select from: idle ones while too few are in use, otherwise the best.
     *
     * @param best the preferred targets for a request
     * @param free all targets with a free slot
     * @param all all targets that are compared
     */
    List<WeightedTarget> select(
            List<WeightedTarget> best,
            List<WeightedTarget> free,
            List<WeightedTarget> all,
            long nowMillis) {
        long inUse = all.stream().filter(target -> !isIdle(target, nowMillis)).count();
        if (mFloorShare == 0 || inUse >= minInUse(all.size())) {
            return best;
        }
        List<WeightedTarget> idle = idle(best, nowMillis);
        if (idle.isEmpty()) {
            idle = idle(free, nowMillis);
        }
        return idle.isEmpty() ? best : idle;
    }

    private double minInUse(int targets) {
        boolean isLossHigh = mFailureDetector.lossRate() > MAX_LOSS_RATE;
        double failingShare =
                isLossHigh ? 0 : Math.min(1 - mFloorShare, mFailureDetector.failingShare());
        return (mFloorShare + RESERVE) * (1 - failingShare) * targets;
    }

    private List<WeightedTarget> idle(List<WeightedTarget> targets, long nowMillis) {
        return targets.stream().filter(target -> isIdle(target, nowMillis)).toList();
    }

    private boolean isIdle(WeightedTarget target, long nowMillis) {
        return nowMillis - mFailureDetector.lastUsedMillis(target.endpoint()) > IDLE_MILLIS;
    }
}
