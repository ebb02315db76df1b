package org.dahliapass.decisions.once;

import java.util.Optional;

/** The next action of a home for an operation after an event. */
public sealed interface HomeAction {

    /**
     * Send the request to a target once, without retries by a library.
     *
     * @param attempt the attempt's number, for reporting its outcome
     */
    record Dispatch(int attempt) implements HomeAction {}

    /**
     * Answer the waiting callers and notify the witness.
     *
     * @param answer the answer for the callers
     * @param notice the notice for the witness; empty if none is due
     */
    record Respond(OperationAnswer answer, Optional<OutcomeNotice> notice) implements HomeAction {}

    /** Do nothing, because the event is late or a duplicate. */
    record Ignore() implements HomeAction {}
}
