package org.dahliapass.decisions.traffic;

import java.util.Set;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * A failed attempt of a request and the attempts before it.
 *
 * @param kind the request's kind
 * @param failure how the last attempt failed
 * @param mayHaveRun whether any attempt, including the last one, may have run
 * @param tried the targets of all attempts, including the last one
 * @param attempts the number of attempts, including the last one
 * @param deadlineMillis the request's deadline, in milliseconds
 */
public record FailedAttempt(
        RequestKind kind,
        FailureKind failure,
        boolean mayHaveRun,
        Set<Endpoint> tried,
        int attempts,
        long deadlineMillis) {
    /** Copies the set. */
    public FailedAttempt {
        tried = Set.copyOf(tried);
    }
}
