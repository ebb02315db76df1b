package org.dahliapass.decisions.traffic;

import java.util.List;

/**
 * What becomes of waiting requests after a slot came free.
 *
 * @param dispatched requests that go to a target now
 * @param expired requests to be refused now
 * @param <T> what the caller needs to go on with a request
 */
public record QueueStep<T>(List<Dispatched<T>> dispatched, List<Expired<T>> expired) {
    /** Copies the lists. */
    public QueueStep {
        dispatched = List.copyOf(dispatched);
        expired = List.copyOf(expired);
    }
}
