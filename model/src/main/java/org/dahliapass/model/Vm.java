package org.dahliapass.model;

/**
 * An entry VM as the others know it.
 *
 * @param identity its name and incarnation
 * @param availabilityZone the name of its availability zone
 * @param callerEndpoint where callers reach it (HTTP)
 * @param peerEndpoint where other VMs reach it (TCP and UDP, the same port)
 */
public record Vm(
        VmIdentity identity,
        String availabilityZone,
        Endpoint callerEndpoint,
        Endpoint peerEndpoint) {}
