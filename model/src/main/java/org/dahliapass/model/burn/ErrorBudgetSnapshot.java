package org.dahliapass.model.burn;

import java.util.List;

/**
 * The recorded request outcomes of one VM, for the error budget report.
 *
 * @param vm the VM's identity
 * @param sinceMillis when the VM began to record, by its own clock, in milliseconds
 * @param nowMillis the time of this snapshot by the VM's clock, in milliseconds
 * @param uncounted requests that were not counted because the history was full
 * @param buckets the time buckets with requests
 */
public record ErrorBudgetSnapshot(
        String vm,
        long sinceMillis,
        long nowMillis,
        long uncounted,
        List<ErrorBudgetBucket> buckets) {

    /** Creates a snapshot with an immutable copy of the buckets; null counts as empty. */
    public ErrorBudgetSnapshot {
        buckets = buckets == null ? List.of() : List.copyOf(buckets);
    }
}
