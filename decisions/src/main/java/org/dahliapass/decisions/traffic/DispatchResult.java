package org.dahliapass.decisions.traffic;

import java.util.List;

/**
 * What becomes of waiting requests after a slot came free.
 *
 * @param dispatched requests that go to a target now
 * @param expired requests to be refused now
 * @param <T> what the caller needs to go on with a request
 */
public record DispatchResult<T>(
        List<DispatchedEntry<T>> dispatched, List<ExpiredEntry<T>> expired) {
    /** Copies the lists. */
    public DispatchResult {
        dispatched = List.copyOf(dispatched);
        expired = List.copyOf(expired);
    }
}
