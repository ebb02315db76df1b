package org.dahliapass.model.routing;

import org.dahliapass.model.Endpoint;

/**
 * A VM of the fleet as registered in the store.
 *
 * @param name the VM's name, unique in the fleet
 * @param availabilityZone the name of its availability zone
 * @param region the region of that zone
 * @param callerEndpoint the address for requests of callers
 * @param peerEndpoint the address for messages of other VMs
 * @param capacity the CPU and network capacity of the VM
 */
public record FleetVm(
        String name,
        String availabilityZone,
        String region,
        Endpoint callerEndpoint,
        Endpoint peerEndpoint,
        VmCapacity capacity) {}
