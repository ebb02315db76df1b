package org.dahliapass.model;

/**
 * A server that does the work of a service.
 *
 * @param endpoint where it is reached; identifies the target
 * @param availabilityZone the name of its availability zone
 */
public record Target(Endpoint endpoint, String availabilityZone) {}
