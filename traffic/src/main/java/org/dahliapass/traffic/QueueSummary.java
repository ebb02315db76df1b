package org.dahliapass.traffic;

import java.util.List;
import java.util.Map;
import org.dahliapass.decisions.traffic.RefusalReason;

/**
 * What waits for slots of a service on this VM, and what was refused since the last summary.
 *
 * @param waiting the number of waiting requests by level of priority; 0 is the highest
 * @param refused the number of refused requests by reason
 * @param largest the customers that hold most at all VMs, the largest first
 */
public record QueueSummary(
        Map<Integer, Integer> waiting, Map<RefusalReason, Integer> refused, List<String> largest) {
    /** Returns whether nothing waits and nothing was refused. */
    public boolean isEmpty() {
        return waiting.isEmpty() && refused.isEmpty();
    }
}
