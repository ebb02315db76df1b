package org.dahliapass.lab.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.dahliapass.model.Endpoint;

/**
 * Counts over which share of the sound targets work was spread while requests failed.
 *
 * <p>Targets that get no work are lost capacity, whatever the reason. This counts the windows in
 * which callers missed answers although less than the floor share of the sound targets was used.
 */
final class TargetUsageTracker {
    private static final long WINDOW_MILLIS = 2_000;
    private static final long STEP_MILLIS = 500;

    /** A target that was in a bout counts as sound again after this time. */
    private static final long SOUND_AFTER_MILLIS = 2_000;

    /** Up to this share of lost requests callers are served well, whatever is used. */
    private static final double LOST_LEAST = 0.1;

    /** From this share of lost requests on the service is down, which no choice of target mends. */
    private static final double LOST_MOST = 0.5;

    private final double mFloorShare;
    private final NavigableMap<Long, Step> mSteps = new TreeMap<>();

    /** What happened in one step of time. */
    private static final class Step {
        private final Set<Endpoint> mUsed = new HashSet<>();
        private int mServed;
        private int mLost;
    }

    /**
     * Starts empty.
     *
     * @param floorShare the share of the sound targets that is to be in use
     */
    TargetUsageTracker(double floorShare) {
        mFloorShare = floorShare;
    }

    private Step step(long elapsedMillis) {
        return mSteps.computeIfAbsent(elapsedMillis / STEP_MILLIS, unused -> new Step());
    }

    /** Takes work that reached a target. */
    void onDelivered(Endpoint target, long elapsedMillis) {
        step(elapsedMillis).mUsed.add(target);
    }

    /** Takes a whole answer to a request that arrived then. */
    void onServed(long arrivalMillis) {
        step(arrivalMillis).mServed++;
    }

    /** Takes the end of a request that arrived then and got no answer. */
    void onLost(long arrivalMillis) {
        step(arrivalMillis).mLost++;
    }

    /**
     * What the windows of a run show.
     *
     * @param minUsedShare the least share of sound targets that was in use in any window
     * @param windowsBelowFloor the windows in which requests were lost while less than the floor
     *     was used
     */
    record TargetUsage(double minUsedShare, int windowsBelowFloor) {}

    /**
     * Looks at all whole windows.
     *
     * @param boutEnds for each target the times in bouts, from their begin to their end
     * @param lengthMillis how long the run was
     */
    TargetUsage usage(Map<Endpoint, List<FailurePeriod>> boutEnds, long lengthMillis) {
        double least = 1;
        int windowsBelowFloor = 0;
        for (long from = 0; from + WINDOW_MILLIS <= lengthMillis; from += STEP_MILLIS) {
            Window window = window(from, boutEnds);
            least = Math.min(least, window.used());
            windowsBelowFloor += window.isBelow(mFloorShare) ? 1 : 0;
        }
        return new TargetUsage(least, windowsBelowFloor);
    }

    /** A bout of a target, in milliseconds since the start. */
    record FailurePeriod(long fromMillis, long untilMillis) {}

    private record Window(double used, double lost) {
        private boolean isBelow(double floorShare) {
            return used > 0 && used < floorShare && lost > LOST_LEAST && lost < LOST_MOST;
        }
    }

    private Window window(long fromMillis, Map<Endpoint, List<FailurePeriod>> bouts) {
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
        List<Endpoint> sound =
                bouts.keySet().stream()
                        .filter(target -> isSound(bouts.get(target), fromMillis, untilMillis))
                        .toList();
        long soundUsed = sound.stream().filter(used::contains).count();
        return new Window(
                sound.isEmpty() ? 1 : soundUsed / (double) sound.size(),
                lost / (double) Math.max(1, served + lost));
    }

    private static boolean isSound(List<FailurePeriod> bouts, long fromMillis, long untilMillis) {
        return bouts.stream()
                .noneMatch(
                        bout ->
                                bout.fromMillis() < untilMillis
                                        && bout.untilMillis() + SOUND_AFTER_MILLIS > fromMillis);
    }
}
