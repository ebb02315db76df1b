package org.dahliapass.decisions.access;

/** The result of authenticating a request. */
public sealed interface Authentication {
    /**
     * The request may be sent to targets.
     *
     * @param identity for whom it is executed
     */
    record Accepted(CallerIdentity identity) implements Authentication {}

    /**
     * The request must not be sent to targets.
     *
     * @param reason why
     */
    record Rejected(RejectionReason reason) implements Authentication {}
}
