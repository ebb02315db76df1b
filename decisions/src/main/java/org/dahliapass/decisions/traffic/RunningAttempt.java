package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/**
 * The only attempt of a request that has no response yet.
 *
 * @param attempt identifies the attempt, as at {@link PassiveFailureDetector#onStarted}
 * @param target the target
 * @param startedMillis when it was sent, in milliseconds
 * @param arrivedMillis when its request arrived, in milliseconds
 * @param initialLossProbability the probability, when it was sent, that a request to its target is
 *     lost
 * @param targetsUsed the targets that may have run the request, including this one
 */
public record RunningAttempt(
        Object attempt,
        Endpoint target,
        long startedMillis,
        long arrivedMillis,
        double initialLossProbability,
        int targetsUsed) {
    /** Creates an attempt that was sent when its request arrived. */
    public RunningAttempt(
            Object attempt,
            Endpoint target,
            long startedMillis,
            double initialLossProbability,
            int targetsUsed) {
        this(attempt, target, startedMillis, startedMillis, initialLossProbability, targetsUsed);
    }
}
