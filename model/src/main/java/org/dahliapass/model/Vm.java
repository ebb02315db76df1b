package org.dahliapass.model;

/**
 * An entry VM as known to the other VMs.
 *
 * @param identity the VM's name and incarnation
 * @param availabilityZone the name of its availability zone
 * @param callerEndpoint the HTTP address for callers
 * @param peerEndpoint the address for other VMs; TCP and UDP use the same port
 */
public record Vm(
        VmIdentity identity,
        String availabilityZone,
        Endpoint callerEndpoint,
        Endpoint peerEndpoint) {}
