package org.dahliapass.decisions.once;

/** The answer to a request or query for the key of an operation. */
public sealed interface OperationAnswer {

    /**
     * The operation ran once, with this result.
     *
     * @param result the target's response, possibly shortened
     */
    record Result(RecordedResult result) implements OperationAnswer {}

    /** The operation is in progress at its home; query the key again later. */
    record InProgress() implements OperationAnswer {}

    /**
     * The operation did not run and never will under this key; it may be sent under a new key.
     *
     * @param reason why it did not run
     */
    record NotRun(NotRunReason reason) implements OperationAnswer {}

    /**
     * The operation may have run or may still run; it must not be sent under a new key.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(UnknownReason reason) implements OperationAnswer {}

    /**
     * The key belongs to a request with other content. Whether that request ran is not stated; the
     * new content never runs under the key.
     */
    record Mismatch() implements OperationAnswer {}
}
