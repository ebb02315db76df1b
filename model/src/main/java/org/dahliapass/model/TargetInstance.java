package org.dahliapass.model;

/**
 * One incarnation of a target and its address.
 *
 * <p>The address alone does not identify a target, because addresses are reused by other services.
 *
 * @param endpoint the address of the target
 * @param name the target's name, sent with each request, so that other targets can reject it
 * @param incarnation distinguishes this start of the target from earlier starts; not empty
 */
public record TargetInstance(Endpoint endpoint, String name, String incarnation) {
    /**
     * Creates an instance.
     *
     * @throws IllegalArgumentException if the name or the incarnation is empty
     */
    public TargetInstance {
        if (name.isEmpty() || incarnation.isEmpty()) {
            throw new IllegalArgumentException(
                    "target at " + endpoint + " has an empty name or incarnation");
        }
    }

    /** Returns a target that is identified by its address, which must not be reused. */
    public static TargetInstance atFixedAddress(Endpoint endpoint) {
        return new TargetInstance(endpoint, endpoint.toString(), endpoint.toString());
    }
}
