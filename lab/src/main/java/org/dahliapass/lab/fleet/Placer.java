package org.dahliapass.lab.fleet;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.acceptance.LoadStatement;
import org.dahliapass.decisions.availability.AvailabilityStatement;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.limits.LimitStatement;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.model.Endpoint;

/**
 * Chooses the targets of one VM's attempts.
 *
 * @param <S> the slot that an attempt occupies while it runs
 */
interface Placer<S> {
    /** Acquires a slot for a first attempt; completes exceptionally if the request is refused. */
    CompletableFuture<S> acquire(SimulatedRequest<S> request);

    /** Acquires a slot for a retry after a failed attempt; empty if it may not be retried. */
    Optional<S> retry(SimulatedRequest<S> request, FailedAttempt failed);

    /** Queues a request again for a retry; empty if it must not be queued. */
    default Optional<CompletableFuture<S>> requeue(
            SimulatedRequest<S> request, FailedAttempt failed) {
        return Optional.empty();
    }

    /** Returns the delay before a hedge, in milliseconds; negative for no hedge. */
    long hedgeDelayMillis(RequestLoad load);

    /**
     * Acquires a slot for a hedge outside the targets already tried; empty if there is none.
     *
     * @param running the slot of the attempt that has no response yet
     */
    Optional<S> hedge(SimulatedRequest<S> request, S running, Set<Endpoint> tried);

    /**
     * Takes a second attempt from the budget for a request whose only attempt is probably lost and
     * is to be aborted.
     *
     * @param running the slot of the attempt that has no response yet
     */
    default boolean tryReplaceLost(SimulatedRequest<S> request, S running) {
        return false;
    }

    /** Queues a request again after its attempt was aborted. */
    default CompletableFuture<S> reacquire(SimulatedRequest<S> request, Set<Endpoint> tried) {
        return acquire(request);
    }

    /** Returns the target of a slot. */
    Endpoint target(S slot);

    /** Records what the response to an attempt says of its target's request limit. */
    default void onLimitStatement(S slot, LimitStatement statement) {}

    /** Records what the response to an attempt says of its target's availability. */
    default void onAvailabilityStatement(S slot, AvailabilityStatement statement) {}

    /** Records what the response to an attempt says of its target's load. */
    default void onLoadStatement(S slot, LoadStatement load) {}

    /** Records that the target rejected an attempt, and what it says of its load. */
    default void onRejected(S slot, LoadStatement load) {}

    /** Releases a slot and records the outcome of its attempt. */
    void release(S slot, Outcome outcome, long latencyMillis);
}
