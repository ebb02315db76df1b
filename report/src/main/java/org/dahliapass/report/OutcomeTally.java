package org.dahliapass.report;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.OptionalDouble;
import org.dahliapass.model.burn.ErrorBudgetBucket;
import org.dahliapass.model.burn.Outcome;

/**
 * Counts of requests by outcome. Counts may be fractional, since a bucket that overlaps a window
 * only partly is prorated.
 *
 * @param good completed in time
 * @param failed failed with an error of the target
 * @param refused reported as not executed
 * @param unknown reported as possibly executed
 * @param late started too late
 * @param cut ended with a truncated body
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

    /** Returns the counts of a bucket, scaled by a fraction from 0 to 1. */
    static OutcomeTally of(ErrorBudgetBucket bucket, double fraction) {
        return new OutcomeTally(
                bucket.good() * fraction,
                bucket.failed() * fraction,
                bucket.refused() * fraction,
                bucket.unknown() * fraction,
                bucket.late() * fraction,
                bucket.cut() * fraction,
                bucket.bad() * fraction);
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
     * Returns the burn rate, the bad share of requests divided by the share that the objective
     * allows. Empty if there were no requests.
     */
    OptionalDouble burnRate(double objective) {
        if (total() <= 0) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(bad / total() / (1 - objective));
    }
}
