package org.dahliapass.model.burn;

import java.util.List;

/**
 * All that one VM tells the burn report.
 *
 * @param vm the VM's identity
 * @param sinceMillis when the VM began to remember, by its own clock
 * @param nowMillis the time of this answer, by its own clock
 * @param uncounted requests that weren't counted because the memory for kinds was full
 * @param buckets the spans in which requests ended
 */
public record ErrorBudgetSnapshot(
        String vm,
        long sinceMillis,
        long nowMillis,
        long uncounted,
        List<ErrorBudgetBucket> buckets) {

    /** Copies the list; a missing one reads as empty. */
    public ErrorBudgetSnapshot {
        buckets = buckets == null ? List.of() : List.copyOf(buckets);
    }
}
