package org.dahliapass.report;

import org.dahliapass.model.burn.ErrorBudgetBucket;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;

/**
 * A time interval expressed as ages, so that counts of VMs with different clocks can be summed.
 *
 * @param minAgeMillis the age of the interval's end, in milliseconds
 * @param maxAgeMillis the age of the interval's start, in milliseconds; greater than {@code
 *     minAgeMillis}
 */
record AgeRange(long minAgeMillis, long maxAgeMillis) {

    /** Returns the elapsed part of a bucket. */
    static AgeRange of(ErrorBudgetBucket bucket, ErrorBudgetSnapshot snapshot) {
        long oldest = Math.max(1, snapshot.nowMillis() - bucket.startMillis());
        long newest = Math.max(0, oldest - bucket.widthMillis());
        return new AgeRange(Math.min(newest, oldest - 1), oldest);
    }

    /** Returns the fraction of this range that lies within another, 0 to 1. */
    double fractionWithin(AgeRange other) {
        long overlap =
                Math.min(maxAgeMillis, other.maxAgeMillis)
                        - Math.max(minAgeMillis, other.minAgeMillis);
        return overlap <= 0 ? 0 : (double) overlap / (maxAgeMillis - minAgeMillis);
    }
}
