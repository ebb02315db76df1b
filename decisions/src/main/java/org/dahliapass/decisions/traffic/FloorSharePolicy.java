package org.dahliapass.decisions.traffic;

import java.util.List;

/**
 * Keeps the floor share of a service's sound targets in use.
 *
 * <p>Answers a load that a part of the targets can carry. A choice by the least chance of loss
 * stays with the targets that were proven last: the others are in more doubt the longer they get
 * nothing, although nothing speaks against them. While requests are lost for another reason, which
 * is when capacity is needed, half of the sound targets may so be out of use without any ejection.
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. A
 * call costs O(targets).
 */
final class FloorSharePolicy {
    /** A target that got nothing for this long is not in use, in milliseconds. */
    private static final long IDLE_MILLIS = 1_400;

    /** Targets in use beyond the floor share, since some of those in use may be unsound. */
    private static final double RESERVE_SHARE = 0.1;

    /**
     * While a greater share of work is lost, all targets count as sound: lost answers that are not
     * the targets' fault look like unsound targets.
     */
    private static final double LOST_SHARE = 0.08;

    private final double mFloorShare;
    private final PassiveFailureDetector mEvidence;

    /**
     * Creates the floor.
     *
     * @param floorShare the share of the sound targets that must stay in use; 0 for none
     */
    FloorSharePolicy(double floorShare, PassiveFailureDetector evidence) {
        mFloorShare = floorShare;
        mEvidence = evidence;
    }

    /**
     * Returns the targets to choose among: those not in use while too few are, else the best.
     *
     * @param best the targets that a request would go to
     * @param free all targets with a free slot
     * @param all all targets that are compared
     */
    List<WeightedTarget> select(
            List<WeightedTarget> best,
            List<WeightedTarget> free,
            List<WeightedTarget> all,
            long nowMillis) {
        long inUse = all.stream().filter(target -> !isIdle(target, nowMillis)).count();
        if (mFloorShare == 0 || inUse >= leastInUse(all.size())) {
            return best;
        }
        List<WeightedTarget> idle = idle(best, nowMillis);
        if (idle.isEmpty()) {
            idle = idle(free, nowMillis);
        }
        return idle.isEmpty() ? best : idle;
    }

    private double leastInUse(int targets) {
        boolean losesWork = mEvidence.lossRate() > LOST_SHARE;
        double unsound = losesWork ? 0 : Math.min(1 - mFloorShare, mEvidence.failingShare());
        return (mFloorShare + RESERVE_SHARE) * (1 - unsound) * targets;
    }

    private List<WeightedTarget> idle(List<WeightedTarget> targets, long nowMillis) {
        return targets.stream().filter(target -> isIdle(target, nowMillis)).toList();
    }

    private boolean isIdle(WeightedTarget target, long nowMillis) {
        return nowMillis - mEvidence.lastUsedMillis(target.endpoint()) > IDLE_MILLIS;
    }
}
