package org.dahliapass.model.routing;

import org.dahliapass.model.Endpoint;

/**
 * A VM of the fleet as the other VMs see it.
 *
 * @param name the VM's name, unique in the fleet
 * @param availabilityZone the name of its availability zone
 * @param region the region of that zone
 * @param callerEndpoint where it takes requests of callers
 * @param peerEndpoint where it takes the messages of the other VMs
 * @param capacity what it has to carry work with
 */
public record FleetVm(
        String name,
        String availabilityZone,
        String region,
        Endpoint callerEndpoint,
        Endpoint peerEndpoint,
        VmCapacity capacity) {}
