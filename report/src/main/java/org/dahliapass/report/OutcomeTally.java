package org.dahliapass.report;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.OptionalDouble;
import org.dahliapass.model.burn.ErrorBudgetBucket;
import org.dahliapass.model.burn.Outcome;

/**
 * How many requests ended in which way. A span of a VM that lies only partly in a window counts by
 * the part, so that the counts need not be whole.
 *
 * @param good whole and in time
 * @param failed with an error of the target's
 * @param refused told that they were not run
 * @param unknown told that nobody knows whether they ran
 * @param late begun too late
 * @param cut with a body that ended early
 * @param bad counted against the objective
 */
record OutcomeTally(
        double good,
        double failed,
        double refused,
        double unknown,
        double late,
        double cut,
        double bad) {
    static final OutcomeTally EMPTY = new OutcomeTally(0, 0, 0, 0, 0, 0, 0);

    /** Returns a part of a VM's span. */
    static OutcomeTally of(ErrorBudgetBucket bucket, double part) {
        return new OutcomeTally(
                bucket.good() * part,
                bucket.failed() * part,
                bucket.refused() * part,
                bucket.unknown() * part,
                bucket.late() * part,
                bucket.cut() * part,
                bucket.bad() * part);
    }

    OutcomeTally plus(OutcomeTally other) {
        return new OutcomeTally(
                good + other.good,
                failed + other.failed,
                refused + other.refused,
                unknown + other.unknown,
                late + other.late,
                cut + other.cut,
                bad + other.bad);
    }

    double count(Outcome outcome) {
        return switch (outcome) {
            case GOOD -> good;
            case FAILED -> failed;
            case REFUSED -> refused;
            case UNKNOWN -> unknown;
            case LATE -> late;
            case CUT -> cut;
        };
    }

    @JsonIgnore
    double total() {
        return good + failed + refused + unknown + late + cut;
    }

    /**
     * Returns how many times faster than allowed the error budget is spent: 1 spends all of it just
     * in time. Empty if there was no request, as nothing is known then.
     */
    OptionalDouble burnRate(double objective) {
        if (total() <= 0) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(bad / total() / (1 - objective));
    }
}
