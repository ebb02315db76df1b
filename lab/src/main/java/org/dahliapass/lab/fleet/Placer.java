package org.dahliapass.lab.fleet;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.model.Endpoint;

/**
 * Gives the tries of one VM their targets.
 *
 * @param <S> what a try holds while it runs
 */
interface Placer<S> {
    /** Gets a place for a first try; fails if the request is refused. */
    CompletableFuture<S> acquire(SimulatedRequest<S> attempt);

    /** Gets a place for a try after one that failed; empty for none. */
    Optional<S> retry(SimulatedRequest<S> attempt, FailedAttempt failed);

    /** Returns after which time a second try beside a slow one is asked for; negative for never. */
    long hedgeDelayMillis(RequestLoad load);

    /** Gets a place for a try beside one that is slow; empty for none. */
    Optional<S> hedge(SimulatedRequest<S> attempt, Set<Endpoint> tried);

    /** Returns the target of a place. */
    Endpoint target(S place);

    /** Gives a place back. */
    void release(S place, Outcome outcome, long tookMillis);
}
