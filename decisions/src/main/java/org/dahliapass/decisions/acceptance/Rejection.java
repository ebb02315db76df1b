package org.dahliapass.decisions.acceptance;

import java.util.Optional;

/**
 * What is known when a target rejects a request.
 *
 * @param isResting whether the target asked for a rest or is leaving
 * @param isLimited whether the target names a request limit
 * @param failingProbability the probability that the target is failing
 * @param load what the rejection says of the target's load; empty if it says nothing
 * @param othersInFlight the other requests of all VMs in flight to the target, as far as known
 * @param slots the requests that the target executes concurrently, by the configuration
 */
public record Rejection(
        boolean isResting,
        boolean isLimited,
        double failingProbability,
        Optional<LoadStatement> load,
        double othersInFlight,
        int slots) {
    private static final double MIN_FAILING_PROBABILITY = 0.6;

    /**
     * Returns the cause.
     *
     * <p>The target's own statements count first. The known requests in flight are older than its
     * load, so they decide only if it doesn't state its load.
     */
    public RejectionCause cause() {
        if (isResting) {
            return RejectionCause.RESTING;
        }
        if (isLimited) {
            return RejectionCause.LIMITED;
        }
        if (isFull()) {
            return RejectionCause.FULL;
        }
        return failingProbability >= MIN_FAILING_PROBABILITY
                ? RejectionCause.FAILING
                : RejectionCause.SHEDDING;
    }

    private boolean isFull() {
        return load.map(stated -> !stated.hasFreeSlot())
                .orElse(Math.round(othersInFlight) >= slots);
    }
}
