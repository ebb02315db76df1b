package org.dahliapass.decisions.once;

/** What may truthfully be said about an operation to whoever sends or asks for its key. */
public sealed interface OperationAnswer {

    /**
     * The operation ran once, with this result.
     *
     * @param result what the target answered, as far as it is kept
     */
    record Result(RecordedResult result) implements OperationAnswer {}

    /** The home is working on the operation; ask again by the key. */
    record InProgress() implements OperationAnswer {}

    /**
     * The operation did not run and never will under this key; it may be sent under a new key.
     *
     * @param reason the proof
     */
    record NotRun(NotRunReason reason) implements OperationAnswer {}

    /**
     * The operation may have run or may yet run; it must not be sent under a new key.
     *
     * @param reason why it is not known
     */
    record Unknown(UnknownReason reason) implements OperationAnswer {}

    /**
     * The key already belongs to a request with other content. This says nothing on whether that
     * request ran; the content sent now never runs under the key.
     */
    record Mismatch() implements OperationAnswer {}
}
