package org.dahliapass.lab.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.dahliapass.model.Endpoint;

/**
 * Tracks the share of healthy targets in use and counts the windows in which requests were lost
 * while this share was below the floor. Not thread-safe.
 */
final class TargetUsageTracker {
    private static final long WINDOW_MILLIS = 2_000;
    private static final long STEP_MILLIS = 500;

    /** A target counts as healthy again this long after a failure period. */
    private static final long HEALTHY_AFTER_MILLIS = 2_000;

    /** Windows that lose no more than this share of requests are not counted. */
    private static final double MIN_LOST_SHARE = 0.1;

    /** At this share of lost requests the service is down, whichever targets are used. */
    private static final double MAX_LOST_SHARE = 0.5;

    private final double mFloorShare;
    private final NavigableMap<Long, Step> mSteps = new TreeMap<>();

    /** The events of one time step. */
    private static final class Step {
        private final Set<Endpoint> mUsed = new HashSet<>();
        private int mServed;
        private int mLost;
    }

    /**
     * Creates a tracker.
     *
     * @param floorShare the share of healthy targets that must be in use
     */
    TargetUsageTracker(double floorShare) {
        mFloorShare = floorShare;
    }

    private Step step(long elapsedMillis) {
        return mSteps.computeIfAbsent(elapsedMillis / STEP_MILLIS, unused -> new Step());
    }

    /** Records the delivery of a request to a target. */
    void onDelivered(Endpoint target, long elapsedMillis) {
        step(elapsedMillis).mUsed.add(target);
    }

    /** Records a complete response to a request that arrived at the given time. */
    void onServed(long arrivalMillis) {
        step(arrivalMillis).mServed++;
    }

    /** Records that a request which arrived at the given time got no response. */
    void onLost(long arrivalMillis) {
        step(arrivalMillis).mLost++;
    }

    /**
     * The target usage of a run.
     *
     * @param minUsedShare the lowest share of healthy targets in use in any window
     * @param windowsBelowFloor the number of windows in which requests were lost while the share in
     *     use was below the floor
     */
    record TargetUsage(double minUsedShare, int windowsBelowFloor) {}

    /**
     * Returns the usage over all complete windows.
     *
     * @param failurePeriods the failure periods of each target
     * @param lengthMillis the length of the run
     */
    TargetUsage usage(Map<Endpoint, List<FailurePeriod>> failurePeriods, long lengthMillis) {
        double minUsedShare = 1;
        int windowsBelowFloor = 0;
        for (long from = 0; from + WINDOW_MILLIS <= lengthMillis; from += STEP_MILLIS) {
            Window window = window(from, failurePeriods);
            minUsedShare = Math.min(minUsedShare, window.used());
            windowsBelowFloor += window.isBelow(mFloorShare) ? 1 : 0;
        }
        return new TargetUsage(minUsedShare, windowsBelowFloor);
    }

    /** A failure period of a target, in milliseconds since the start of the run. */
    record FailurePeriod(long fromMillis, long untilMillis) {}

    private record Window(double used, double lost) {
        private boolean isBelow(double floorShare) {
            return used > 0 && used < floorShare && lost > MIN_LOST_SHARE && lost < MAX_LOST_SHARE;
        }
    }

    private Window window(long fromMillis, Map<Endpoint, List<FailurePeriod>> failurePeriods) {
        long untilMillis = fromMillis + WINDOW_MILLIS;
        Set<Endpoint> used = new HashSet<>();
        int served = 0;
        int lost = 0;
        for (Step step :
                mSteps.subMap(fromMillis / STEP_MILLIS, untilMillis / STEP_MILLIS).values()) {
            used.addAll(step.mUsed);
            served += step.mServed;
            lost += step.mLost;
        }
        List<Endpoint> healthy =
                failurePeriods.keySet().stream()
                        .filter(
                                target ->
                                        isHealthy(
                                                failurePeriods.get(target),
                                                fromMillis,
                                                untilMillis))
                        .toList();
        long healthyUsed = healthy.stream().filter(used::contains).count();
        return new Window(
                healthy.isEmpty() ? 1 : healthyUsed / (double) healthy.size(),
                lost / (double) Math.max(1, served + lost));
    }

    private static boolean isHealthy(
            List<FailurePeriod> failurePeriods, long fromMillis, long untilMillis) {
        return failurePeriods.stream()
                .noneMatch(
                        period ->
                                period.fromMillis() < untilMillis
                                        && period.untilMillis() + HEALTHY_AFTER_MILLIS
                                                > fromMillis);
    }
}
