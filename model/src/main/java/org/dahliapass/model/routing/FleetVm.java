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
 * @param reachesTargets whether the VM reaches any target over its own network
 */
public record FleetVm(
        String name,
        String availabilityZone,
        String region,
        Endpoint callerEndpoint,
        Endpoint peerEndpoint,
        VmCapacity capacity,
        boolean reachesTargets) {
    /** Creates a VM that reaches the targets. */
    public FleetVm(
            String name,
            String availabilityZone,
            String region,
            Endpoint callerEndpoint,
            Endpoint peerEndpoint,
            VmCapacity capacity) {
        this(name, availabilityZone, region, callerEndpoint, peerEndpoint, capacity, true);
    }

    /** Returns this VM with another state of its network. */
    public FleetVm withReachesTargets(boolean newReachesTargets) {
        return new FleetVm(
                name,
                availabilityZone,
                region,
                callerEndpoint,
                peerEndpoint,
                capacity,
                newReachesTargets);
    }
}
