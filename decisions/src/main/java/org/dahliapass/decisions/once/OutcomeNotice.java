package org.dahliapass.decisions.once;

import java.util.Optional;

/**
 * A notice from a home to a witness about the outcome of an operation; best effort.
 *
 * @param result the operation's result; empty if it was abandoned and never runs
 */
public record OutcomeNotice(Operation operation, Optional<RecordedResult> result) {

    static OutcomeNotice ran(Operation operation, RecordedResult result) {
        return new OutcomeNotice(operation, Optional.of(result));
    }

    static OutcomeNotice abandoned(Operation operation) {
        return new OutcomeNotice(operation, Optional.empty());
    }
}
