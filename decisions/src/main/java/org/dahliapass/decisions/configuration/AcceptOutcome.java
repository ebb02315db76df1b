package org.dahliapass.decisions.configuration;

import java.util.Optional;

/** How an accept, or the question what became of one, ended. */
public sealed interface AcceptOutcome {

    /**
     * The change is in the fleet-wide order.
     *
     * @param number its number
     */
    record Accepted(long number) implements AcceptOutcome {}

    /**
     * Another change of the same customer came first; this one isn't and won't be in the order.
     *
     * @param current the change that stands now; empty if the customer has none
     */
    record Conflict(Optional<ChangeRecord> current) implements AcceptOutcome {}

    /**
     * The change isn't and won't be in the order, for another reason.
     *
     * @param reason a sentence that says why
     */
    record NotAccepted(String reason) implements AcceptOutcome {}

    /**
     * The change may be in the order or may still get there.
     *
     * @param handle with which to ask later
     */
    record Unknown(OperationHandle handle) implements AcceptOutcome {}
}
