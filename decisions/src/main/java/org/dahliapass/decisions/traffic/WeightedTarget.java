package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;
import org.dahliapass.model.TargetInstance;

/**
 * A target with its weight from health checking, as input of load balancing.
 *
 * @param instance the target
 * @param zone the name of its availability zone
 * @param weight its share of requests relative to the other targets; 0 for no new requests
 * @param acceptsAtMostOnce whether requests that run at most once may be sent to it
 */
public record WeightedTarget(
        TargetInstance instance, String zone, double weight, boolean acceptsAtMostOnce) {
    /** Returns the target's address. */
    public Endpoint endpoint() {
        return instance.endpoint();
    }
}
