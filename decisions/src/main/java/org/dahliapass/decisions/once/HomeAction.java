package org.dahliapass.decisions.once;

import java.util.Optional;

/** What a home does after something happened to an operation that it works on. */
public sealed interface HomeAction {

    /**
     * Send the request to a target, once, with no retry by any library.
     *
     * @param attempt number to report the attempt's end by
     */
    record Dispatch(int attempt) implements HomeAction {}

    /**
     * Answer those who wait for the operation, and tell the witness.
     *
     * @param answer what to say
     * @param notice what to send to the witness, if anything
     */
    record Respond(OperationAnswer answer, Optional<OutcomeNotice> notice) implements HomeAction {}

    /** Do nothing: the event came late or twice. */
    record Ignore() implements HomeAction {}
}
