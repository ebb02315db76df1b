package org.dahliapass.gateway;

import java.util.Optional;
import org.dahliapass.decisions.traffic.RetryCharge;
import org.dahliapass.kernel.JsonObject;

/**
 * At whose charge an attempt was written.
 *
 * @param status how the attempt counts
 * @param charge the charge to this VM's retry budget; empty if there is none
 */
record ArrivalCharge(Status status, Optional<RetryCharge> charge) {
    static final ArrivalCharge UNSENT = new ArrivalCharge(Status.UNSENT, Optional.empty());
    static final ArrivalCharge FIRST = new ArrivalCharge(Status.FIRST, Optional.empty());
    static final ArrivalCharge MISSING = new ArrivalCharge(Status.MISSING, Optional.empty());

    private static final double HUNDREDTHS = 100.0;

    /** How an attempt counts at the retry budget. */
    enum Status {
        /** Nothing was written. */
        UNSENT("unsent"),
        /** The first attempt of the request at this VM, which needs no charge. */
        FIRST("first"),
        /** A further attempt that this VM's budget is charged for. */
        CHARGED("charged"),
        /** A further attempt that no budget is charged for. */
        MISSING("missing");

        private final String mLabel;

        Status(String label) {
            mLabel = label;
        }
    }

    /** Returns the state of an attempt that is charged. */
    static ArrivalCharge of(RetryCharge charge) {
        return new ArrivalCharge(Status.CHARGED, Optional.of(charge));
    }

    /** Adds the charge and what the budget held before to an attempt's entry in the log. */
    void describe(JsonObject entry) {
        if (status == Status.UNSENT || status == Status.FIRST) {
            return;
        }
        entry.put("charge", status.mLabel);
        charge.ifPresent(
                it ->
                        entry.put("charge_reason", it.reason().label())
                                .put("budget_allowance", rounded(it.allowance()))
                                .put("budget_earned", rounded(it.earned()))
                                .put("budget_spent", it.spent())
                                .put("budget_held", it.held()));
    }

    private static double rounded(double value) {
        return Math.round(value * HUNDREDTHS) / HUNDREDTHS;
    }
}
