package org.dahliapass.model.routing;

import java.time.Duration;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.TargetInstance;

/**
 * What a target says of itself in the platform's store.
 *
 * @param instance names the target; a later start may have the same name
 * @param service the service that it serves
 * @param endpoint where it is reached; may be another instance's later
 * @param availabilityZone the name of its availability zone
 * @param softwareVersion the version of its software
 * @param slots requests that it works on at once
 * @param draining whether it wants nothing new
 * @param remainingWarmup how much longer it is slow after its start, when it wrote this
 * @param startedMillis when this start of the target began, in Unix milliseconds; 0 if it says not
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
    /** Returns this start of the target and where it is reached. */
    public TargetInstance target() {
        return new TargetInstance(endpoint, instance, incarnation());
    }

    /**
     * Returns what identifies this start of the target among all starts of all targets: what was
     * learned of an earlier start says nothing of this one.
     */
    public String incarnation() {
        return instance + "@" + startedMillis;
    }
}
