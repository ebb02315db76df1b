package org.dahliapass.decisions.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.VmCapacity;

/**
 * An immutable assignment of VMs to the callers of each availability zone.
 *
 * <p>The plan advertises the smallest sufficient set of VMs, starting with the VMs of the highest
 * capacity. Each advertised VM then handles a large part of the traffic, observes the targets well
 * and reuses its connections. All VMs compute the same plan from the same store entries.
 *
 * <p>Callers spread their requests evenly over the advertised addresses, so the plan sizes each set
 * by its weakest VM. An overloaded VM would queue requests in its network link or event loop while
 * the rest of the fleet is idle.
 *
 * <p>VMs that reach no target are not advertised while any other VM is.
 */
public final class AddressPlan {
    /** The most addresses that callers accept. */
    private static final int MAX_ADDRESSES = 64;

    /**
     * CPU time of one request at a VM, in core-seconds. A VM that has just started needs more, one
     * that is warm less.
     */
    private static final double CORE_SECONDS_PER_REQUEST = 0.004;

    /** Network traffic of one request and its response in each direction, in Mbit. */
    private static final double MEGABITS_PER_REQUEST = 0.1;

    /**
     * The share of a VM's capacity that is planned for the expected load, leaving room for bursts.
     */
    private static final double PLANNED_UTILIZATION = 0.6;

    /**
     * The store counts each watch call, so the number of watchers must not grow with the fleet. Of
     * three watchers in different zones, one survives the simultaneous loss of a VM and a zone.
     */
    private static final int WATCHERS_PER_REGION = 3;

    private final int mMinVmsPerZone;
    private final double mRequestsPerSecondPerZone;
    private final List<FleetVm> mByCapacity;
    private final Map<String, List<FleetVm>> mByZone;
    private final Map<String, List<FleetVm>> mRegionalVms = new HashMap<>();
    private final Map<String, List<FleetVm>> mVmsByCallerZone = new HashMap<>();
    private final Set<FleetVm> mAdvertisedVms = new HashSet<>();
    private final Set<FleetVm> mWatchers = new HashSet<>();

    /**
     * Creates a plan.
     *
     * @param vms the live VMs
     * @param requestsPerSecond the expected request rate of the whole fleet
     * @param minVmsPerZone the minimum number of VMs for the callers of a zone, for redundancy
     */
    public AddressPlan(Collection<FleetVm> vms, double requestsPerSecond, int minVmsPerZone) {
        mMinVmsPerZone = minVmsPerZone;
        List<FleetVm> all = sortByCapacity(vms);
        Map<String, List<FleetVm>> allByZone = byZone(all);
        mRequestsPerSecondPerZone = requestsPerSecond / Math.max(1, allByZone.size());
        all.stream()
                .map(FleetVm::region)
                .distinct()
                .forEach(region -> selectWatchers(region, allByZone));
        mByCapacity = usable(all);
        mByZone = byZone(mByCapacity);
        mByCapacity.forEach(
                vm ->
                        mRegionalVms.computeIfAbsent(
                                vm.region(),
                                region -> regionalVms(region, zoneCount(all, region))));
        allByZone.forEach(
                (zone, zoneVms) -> {
                    List<FleetVm> selected = select(zone, zoneVms.get(0).region());
                    mVmsByCallerZone.put(zone, selected);
                    mAdvertisedVms.addAll(selected);
                });
    }

    private static Map<String, List<FleetVm>> byZone(List<FleetVm> vms) {
        Map<String, List<FleetVm>> byZone = new HashMap<>();
        for (FleetVm vm : vms) {
            byZone.computeIfAbsent(vm.availabilityZone(), unused -> new ArrayList<>()).add(vm);
        }
        return byZone;
    }

    /** Returns the VMs that reach targets; all VMs if none does. */
    private static List<FleetVm> usable(List<FleetVm> vms) {
        List<FleetVm> reaching = vms.stream().filter(FleetVm::reachesTargets).toList();
        return reaching.isEmpty() ? vms : reaching;
    }

    /**
     * Returns the addresses that the callers of a zone connect to.
     *
     * @param zone the callers' availability zone, which may have no VMs
     * @param region the callers' region
     */
    public List<Endpoint> addresses(String zone, String region) {
        List<FleetVm> selected = mVmsByCallerZone.get(zone);
        return (selected == null ? select(zone, region) : selected)
                .stream().map(FleetVm::callerEndpoint).toList();
    }

    /** Returns the VMs whose addresses are advertised to the callers of any zone. */
    public Set<FleetVm> advertisedVms() {
        return mAdvertisedVms;
    }

    /** Returns whether the address of the VM with this name is advertised. */
    public boolean isAdvertised(String name) {
        return mAdvertisedVms.stream().anyMatch(vm -> vm.name().equals(name));
    }

    /** Returns the VMs that watch the store and forward its changes to the other VMs. */
    public Set<FleetVm> watchers() {
        return mWatchers;
    }

    /** Selects a region's watchers, one VM of each zone in turn. */
    private void selectWatchers(String region, Map<String, List<FleetVm>> byZone) {
        List<List<FleetVm>> zones =
                byZone.values().stream()
                        .filter(vms -> vms.get(0).region().equals(region))
                        .sorted(Comparator.comparing(vms -> vms.get(0).availabilityZone()))
                        .toList();
        long regionSize = zones.stream().mapToLong(List::size).sum();
        Set<FleetVm> selected = new HashSet<>();
        for (int round = 0; selected.size() < Math.min(WATCHERS_PER_REGION, regionSize); round++) {
            for (List<FleetVm> vms : zones) {
                if (round < vms.size() && selected.size() < WATCHERS_PER_REGION) {
                    selected.add(vms.get(round));
                }
            }
        }
        mWatchers.addAll(selected);
    }

    private static List<FleetVm> sortByCapacity(Collection<FleetVm> vms) {
        List<FleetVm> sorted = new ArrayList<>(vms);
        sorted.sort(
                Comparator.comparingDouble((FleetVm vm) -> -requestsPerSecond(vm.capacity()))
                        .thenComparingInt(vm -> mixedHash(vm.name()))
                        .thenComparing(FleetVm::name));
        return sorted;
    }

    /**
     * Selects the VMs of a zone's callers: the zone's own VMs, unless fewer VMs suffice for the
     * whole region. A zone that lost its large VMs then uses the large VMs of its neighbors instead
     * of many slow VMs of its own.
     */
    private List<FleetVm> select(String zone, String region) {
        List<FleetVm> zoneVms = mByZone.getOrDefault(zone, List.of());
        int zoneCount = sufficientCount(zoneVms, mRequestsPerSecondPerZone);
        List<FleetVm> regionalVms = mRegionalVms.getOrDefault(region, List.of());
        if (zoneCount > 0 && (regionalVms.isEmpty() || zoneCount <= regionalVms.size())) {
            return List.copyOf(zoneVms.subList(0, zoneCount));
        }
        if (!regionalVms.isEmpty()) {
            return regionalVms;
        }
        List<FleetVm> all = new ArrayList<>(mByCapacity);
        // The sort is stable, so VMs at the same distance stay ordered by capacity.
        all.sort(Comparator.comparingInt(vm -> distance(vm, zone, region)));
        int sufficient = sufficientCount(all, mRequestsPerSecondPerZone);
        return List.copyOf(
                all.subList(0, sufficient > 0 ? sufficient : Math.min(all.size(), bestCount(all))));
    }

    private static long zoneCount(List<FleetVm> vms, String region) {
        return vms.stream()
                .filter(vm -> vm.region().equals(region))
                .map(FleetVm::availabilityZone)
                .distinct()
                .count();
    }

    /** Returns the smallest set of VMs for all callers of a region; empty if none suffices. */
    private List<FleetVm> regionalVms(String region, long zones) {
        List<FleetVm> vms = mByCapacity.stream().filter(vm -> vm.region().equals(region)).toList();
        return List.copyOf(vms.subList(0, sufficientCount(vms, mRequestsPerSecondPerZone * zones)));
    }

    /** Returns the length of the shortest prefix that carries a request rate; 0 if none does. */
    private int sufficientCount(List<FleetVm> vms, double requestsPerSecond) {
        for (int count = mMinVmsPerZone; count <= Math.min(MAX_ADDRESSES, vms.size()); count++) {
            if (evenCapacity(vms, count) >= requestsPerSecond) {
                return count;
            }
        }
        return 0;
    }

    /** Returns the length of the prefix with the highest total capacity. */
    private int bestCount(List<FleetVm> vms) {
        int best = mMinVmsPerZone;
        for (int count = mMinVmsPerZone; count <= Math.min(MAX_ADDRESSES, vms.size()); count++) {
            if (evenCapacity(vms, count) > evenCapacity(vms, best)) {
                best = count;
            }
        }
        return best;
    }

    /** Returns the request rate that VMs carry together under an even load distribution. */
    private static double evenCapacity(List<FleetVm> vms, int count) {
        double minCapacity = Double.MAX_VALUE;
        for (FleetVm vm : vms.subList(0, count)) {
            minCapacity = Math.min(minCapacity, requestsPerSecond(vm.capacity()));
        }
        return count * minCapacity * PLANNED_UTILIZATION;
    }

    private static double requestsPerSecond(VmCapacity capacity) {
        return Math.min(
                capacity.cores() / CORE_SECONDS_PER_REQUEST,
                capacity.linkMegabits() / MEGABITS_PER_REQUEST);
    }

    private static int distance(FleetVm vm, String zone, String region) {
        if (vm.availabilityZone().equals(zone)) {
            return 0;
        }
        return vm.region().equals(region) ? 1 : 2;
    }

    /** Mixes the hash bits, so that numbered names do not sort by their number. */
    private static int mixedHash(String name) {
        int hash = name.hashCode() * 0x9E3779B9;
        return hash ^ (hash >>> 15);
    }
}
