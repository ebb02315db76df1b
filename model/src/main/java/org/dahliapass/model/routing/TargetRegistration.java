package org.dahliapass.model.routing;

import java.time.Duration;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.TargetInstance;

/**
 * The registration of a target in the platform's store, written by the target.
 *
 * @param instance the target's name; may be kept over restarts
 * @param service the name of the service that the target provides
 * @param endpoint the target's address; may later be reused by another target
 * @param availabilityZone the name of its availability zone
 * @param softwareVersion the version of the target's software
 * @param slots the number of requests that the target handles concurrently
 * @param draining whether the target accepts no new requests
 * @param remainingWarmup the remaining warm-up time when the registration was written
 * @param startedMillis the start time of the target, in Unix milliseconds; 0 if unknown
 */
public record TargetRegistration(
        String instance,
        String service,
        Endpoint endpoint,
        String availabilityZone,
        String softwareVersion,
        int slots,
        boolean draining,
        Duration remainingWarmup,
        long startedMillis) {
    /** Returns the registered incarnation of the target. */
    public TargetInstance target() {
        return new TargetInstance(endpoint, instance, incarnation());
    }

    /**
     * Returns an identifier of this start of the target, unique among all starts of all targets.
     *
     * <p>Measurements of an earlier start do not apply to a later one.
     */
    public String incarnation() {
        return instance + "@" + startedMillis;
    }
}
