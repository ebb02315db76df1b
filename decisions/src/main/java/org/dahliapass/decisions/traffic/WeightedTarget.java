package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;
import org.dahliapass.model.TargetInstance;

/**
 * A target as the health part sees it, for picks.
 *
 * @param instance the target
 * @param zone the name of its availability zone
 * @param weight its share of work against the other targets; 0 for no new work
 * @param acceptsGuarded whether requests that run at most once may go there
 */
public record WeightedTarget(
        TargetInstance instance, String zone, double weight, boolean acceptsGuarded) {
    /** Returns where the target is reached. */
    public Endpoint endpoint() {
        return instance.endpoint();
    }
}
