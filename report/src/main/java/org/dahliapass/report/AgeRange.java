package org.dahliapass.report;

import org.dahliapass.model.burn.ErrorBudgetBucket;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;

/**
 * A span of time by age, so that VMs whose clocks differ can be added up.
 *
 * @param minAgeMillis the age of its end in milliseconds
 * @param maxAgeMillis the age of its start in milliseconds; more than {@code newest}
 */
record AgeRange(long minAgeMillis, long maxAgeMillis) {

    /** Returns the span of a bucket, as far as it has passed already. */
    static AgeRange of(ErrorBudgetBucket bucket, ErrorBudgetSnapshot snapshot) {
        long oldest = Math.max(1, snapshot.nowMillis() - bucket.startMillis());
        long newest = Math.max(0, oldest - bucket.widthMillis());
        return new AgeRange(Math.min(newest, oldest - 1), oldest);
    }

    /** Returns which part of this span lies within another, 0 to 1. */
    double fractionWithin(AgeRange other) {
        long overlap =
                Math.min(maxAgeMillis, other.maxAgeMillis)
                        - Math.max(minAgeMillis, other.minAgeMillis);
        return overlap <= 0 ? 0 : (double) overlap / (maxAgeMillis - minAgeMillis);
    }
}
