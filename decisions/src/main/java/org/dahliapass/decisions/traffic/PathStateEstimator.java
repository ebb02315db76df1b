package org.dahliapass.decisions.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.Endpoint;

/**
 * Holds, for each target of a service, the chance that this VM's own path to it is cut.
 *
 * <p>Answers a partition between one VM and one target, where all other VMs get answers: what they
 * tell speaks for the target, so by their news alone this VM would send work into the cut again and
 * again. Only an answer over this VM's own path speaks for the path.
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. Each
 * call costs O(1).
 */
final class PathStateEstimator {
    /** As rare as a failing path is: with one of a hundred, the second loss in a row decides. */
    private static final double SHARE_CUT = 0.01;

    /** Partitions last for seconds; a path is worth another try after about as long. */
    private static final double MEAN_CUT_MILLIS = 8_000;

    /** A path that loses part of what it carries lets some answers through. */
    private static final double ANSWERED_WHEN_CUT = 0.02;

    private static final double MOST_CHANCE = 0.98;

    private final Map<Endpoint, Path> mPaths = new HashMap<>();

    /** What is known of the path to one target. */
    private record Path(double chance, long seenMillis) {}

    /** Returns the chance that the path to a target is cut. */
    double partitionProbability(Endpoint target, long nowMillis) {
        Path path = mPaths.get(target);
        if (path == null) {
            return SHARE_CUT;
        }
        long age = Math.max(0, nowMillis - path.seenMillis());
        return SHARE_CUT + (path.chance() - SHARE_CUT) * Math.exp(-age / MEAN_CUT_MILLIS);
    }

    /**
     * Takes the end of a piece of work of this VM.
     *
     * @param withoutCut how likely that end was if the path is sound
     */
    void onObservation(Endpoint target, Observation sign, double withoutCut, long sentMillis) {
        Path path = mPaths.get(target);
        if (path != null && sentMillis < path.seenMillis()) {
            return;
        }
        double before = partitionProbability(target, sentMillis);
        double ifCut = sign.hasResponse() ? ANSWERED_WHEN_CUT : 1 - ANSWERED_WHEN_CUT;
        double odds = before / (1 - before) * ifCut / withoutCut;
        mPaths.put(target, new Path(Math.min(MOST_CHANCE, odds / (1 + odds)), sentMillis));
    }

    /** Forgets what is known of some targets. */
    void forget(Set<Endpoint> targets) {
        mPaths.keySet().removeAll(targets);
    }

    /** Forgets the targets that aren't among these. */
    void retain(Set<Endpoint> targets) {
        mPaths.keySet().retainAll(targets);
    }
}
