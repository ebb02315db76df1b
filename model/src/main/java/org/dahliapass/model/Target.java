package org.dahliapass.model;

/**
 * A server that handles the requests of a service.
 *
 * @param endpoint the address of the target; identifies the target
 * @param availabilityZone the name of its availability zone
 */
public record Target(Endpoint endpoint, String availabilityZone) {}
