package org.dahliapass.report;

import org.dahliapass.model.burn.ErrorBudgetBucket;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;

/**
 * A span of time by age, so that VMs whose clocks differ can be added up.
 *
 * @param newest the age of its end in milliseconds
 * @param oldest the age of its start in milliseconds; more than {@code newest}
 */
record AgeSpan(long newest, long oldest) {

    /** Returns the span of a bucket, as far as it has passed already. */
    static AgeSpan of(ErrorBudgetBucket bucket, ErrorBudgetSnapshot snapshot) {
        long oldest = Math.max(1, snapshot.nowMillis() - bucket.startMillis());
        long newest = Math.max(0, oldest - bucket.widthMillis());
        return new AgeSpan(Math.min(newest, oldest - 1), oldest);
    }

    /** Returns which part of this span lies within another, 0 to 1. */
    double partWithin(AgeSpan other) {
        long overlap = Math.min(oldest, other.oldest) - Math.max(newest, other.newest);
        return overlap <= 0 ? 0 : (double) overlap / (oldest - newest);
    }
}
