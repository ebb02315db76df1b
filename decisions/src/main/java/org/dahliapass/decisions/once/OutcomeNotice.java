package org.dahliapass.decisions.once;

import java.util.Optional;

/**
 * Tells the witness how an operation ended; sent by its home, at most a few times, never awaited.
 *
 * @param operation the operation that ended
 * @param result what it answered; empty if it was abandoned and never runs
 */
public record OutcomeNotice(Operation operation, Optional<RecordedResult> result) {

    static OutcomeNotice ran(Operation operation, RecordedResult result) {
        return new OutcomeNotice(operation, Optional.of(result));
    }

    static OutcomeNotice abandoned(Operation operation) {
        return new OutcomeNotice(operation, Optional.empty());
    }
}
