package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/**
 * A target as the health part sees it, for picks.
 *
 * @param endpoint where the target is reached
 * @param zone the name of its availability zone
 * @param weight its share of work against the other targets; 0 for no new work
 * @param mayCarryGuarded whether requests that run at most once may go there
 */
public record WeightedTarget(
        Endpoint endpoint, String zone, double weight, boolean mayCarryGuarded) {}
