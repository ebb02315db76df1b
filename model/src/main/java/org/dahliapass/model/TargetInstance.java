package org.dahliapass.model;

/**
 * One start of a target and where it is reached: what a request is sent to.
 *
 * <p>An address alone says nothing of who answers there, since addresses are used again by other
 * services.
 *
 * @param endpoint where it is reached
 * @param name its name, which requests to it state, so that any other target refuses them
 * @param incarnation tells this start from earlier ones of the same name
 */
public record TargetInstance(Endpoint endpoint, String name, String incarnation) {
    /** Refuses a target without a name. */
    public TargetInstance {
        if (name.isEmpty() || incarnation.isEmpty()) {
            throw new IllegalArgumentException("The target at " + endpoint + " has no name.");
        }
    }

    /** Returns a target that has no name but its address, which is never used again. */
    public static TargetInstance atFixedAddress(Endpoint endpoint) {
        return new TargetInstance(endpoint, endpoint.toString(), endpoint.toString());
    }
}
