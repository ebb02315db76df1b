package org.dahliapass.decisions.traffic;

import java.util.List;

/**
 * The queued entries that leave the queue after slots became free.
 *
 * @param dispatched entries sent to a target now
 * @param expired entries refused now
 * @param <T> the caller's handle for a request
 */
public record DispatchResult<T>(
        List<DispatchedEntry<T>> dispatched, List<ExpiredEntry<T>> expired) {
    /** Copies the lists. */
    public DispatchResult {
        dispatched = List.copyOf(dispatched);
        expired = List.copyOf(expired);
    }
}
