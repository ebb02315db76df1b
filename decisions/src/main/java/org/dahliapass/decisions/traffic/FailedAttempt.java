package org.dahliapass.decisions.traffic;

import java.util.Set;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * A try that failed, and what was tried before it.
 *
 * @param kind the request's kind
 * @param failure how the last try failed
 * @param mayHaveRun whether any try of this request may have run, the last one included
 * @param tried all targets tried so far, the last one included
 * @param attempts how many tries there were, the last one included
 * @param deadlineMillis when the answer is of no more use, in milliseconds
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
