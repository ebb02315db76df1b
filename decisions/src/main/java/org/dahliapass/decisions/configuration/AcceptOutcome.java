package org.dahliapass.decisions.configuration;

import java.util.Optional;

/** The outcome of an {@link AcceptProtocol} or a {@link ResolveProtocol}. */
public sealed interface AcceptOutcome {

    /**
     * The change is in the fleet-wide log.
     *
     * @param number the change's number
     */
    record Accepted(long number) implements AcceptOutcome {}

    /**
     * Another change of the same customer was accepted first; this one isn't and won't be accepted.
     *
     * @param current the customer's newest change; empty if there is none
     */
    record Conflict(Optional<ChangeRecord> current) implements AcceptOutcome {}

    /**
     * The change isn't and won't be accepted, for another reason.
     *
     * @param reason the reason as a sentence
     */
    record NotAccepted(String reason) implements AcceptOutcome {}

    /**
     * The change may have been accepted or may still be.
     *
     * @param handle the handle to resolve the outcome later
     */
    record Unknown(OperationHandle handle) implements AcceptOutcome {}
}
