package org.dahliapass.decisions.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.Endpoint;

/**
 * Estimates, for each target of a service, the probability that this VM's network path to it is
 * partitioned.
 *
 * <p>Detects a partition between this VM and one target to which other VMs have no partition: their
 * reports show the target as healthy, so only responses to this VM count for the path.
 *
 * <p>Not thread-safe; guarded by the service's lock.
 */
final class PathStateEstimator {
    /** The prior probability of a partition, at which the second loss in a row is decisive. */
    private static final double PARTITION_SHARE = 0.01;

    /** Longer than a typical partition, after which a path is tried again. */
    private static final double MEAN_PARTITION_MILLIS = 8_000;

    /** Some responses arrive over a path that loses a part of its packets. */
    private static final double RESPONSE_RATE_WHEN_PARTITIONED = 0.02;

    private static final double MAX_PROBABILITY = 0.98;

    private final Map<Endpoint, Path> mPaths = new HashMap<>();

    /** The estimated state of the path to one target. */
    private record Path(double probability, long lastObservedMillis) {}

    /** Returns the probability that the path to a target is partitioned. */
    double partitionProbability(Endpoint target, long nowMillis) {
        Path path = mPaths.get(target);
        if (path == null) {
            return PARTITION_SHARE;
        }
        long age = Math.max(0, nowMillis - path.lastObservedMillis());
        return PARTITION_SHARE
                + (path.probability() - PARTITION_SHARE) * Math.exp(-age / MEAN_PARTITION_MILLIS);
    }

    /**
     * Updates the estimate with the outcome of an attempt of this VM.
     *
     * @param likelihoodWhenHealthy the likelihood of the outcome over a healthy path
     */
    void onObservation(
            Endpoint target,
            Observation observation,
            double likelihoodWhenHealthy,
            long sentMillis) {
        Path path = mPaths.get(target);
        if (path != null && sentMillis < path.lastObservedMillis()) {
            return;
        }
        double prior = partitionProbability(target, sentMillis);
        double likelihoodWhenPartitioned =
                observation.hasResponse()
                        ? RESPONSE_RATE_WHEN_PARTITIONED
                        : 1 - RESPONSE_RATE_WHEN_PARTITIONED;
        double odds = prior / (1 - prior) * likelihoodWhenPartitioned / likelihoodWhenHealthy;
        mPaths.put(target, new Path(Math.min(MAX_PROBABILITY, odds / (1 + odds)), sentMillis));
    }

    /** Discards the state of the given targets. */
    void forget(Set<Endpoint> targets) {
        mPaths.keySet().removeAll(targets);
    }

    /** Discards the state of all targets except the given ones. */
    void retain(Set<Endpoint> targets) {
        mPaths.keySet().retainAll(targets);
    }
}
