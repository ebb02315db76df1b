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
 * Which VMs the callers of each availability zone connect to; immutable.
 *
 * <p>As few as can carry the callers of the zone, the most capable first: each of them then sees a
 * large part of the work, knows more of what the targets are doing, and keeps its connections to
 * them in use. All VMs reach the same plan from the same entries.
 *
 * <p>Guards against callers that meet at VMs which can't carry them: their requests wait unseen, in
 * the VM's link or before its one thread, until the callers give up, while the rest of the fleet is
 * idle. Callers choose evenly among the addresses that they are given, so the weakest VM among them
 * must be able to carry an even share.
 */
public final class AddressPlan {
    /** Callers take so many addresses at most from one answer. */
    private static final int MOST_ADDRESSES = 64;

    /**
     * Processor time of one request at a VM, in seconds on one core; a VM that has just started
     * takes more, one that is warm less.
     */
    private static final double CORE_SECONDS_A_REQUEST = 0.004;

    /** What a request and its answer take of a VM's link in each direction, in Mbit. */
    private static final double MEGABITS_A_REQUEST = 0.1;

    /** How much of a VM callers may take at the expected load; the rest is for bursts. */
    private static final double PLANNED_USE = 0.6;

    /**
     * VMs that hear of changes from the store itself. The store counts a waiting call like any
     * other, so their number must not grow with VMs or zones; three in different zones are left
     * with one after the loss of a VM and of a zone in the same moment.
     */
    private static final int WATCHERS_A_REGION = 3;

    private final int mLeastPerZone;
    private final double mRequestsPerZone;
    private final List<FleetVm> mByCapacity;
    private final Map<String, List<FleetVm>> mByZone = new HashMap<>();
    private final Map<String, List<FleetVm>> mSharedByRegion = new HashMap<>();
    private final Map<String, List<FleetVm>> mChosen = new HashMap<>();
    private final Set<FleetVm> mTakers = new HashSet<>();
    private final Set<FleetVm> mWatchers = new HashSet<>();

    /**
     * Makes a plan.
     *
     * @param vms the live VMs
     * @param requestsPerSecond what callers are expected to send to all of them
     * @param leastPerZone how many VMs take the callers of one zone at least, for the loss of one
     */
    public AddressPlan(Collection<FleetVm> vms, double requestsPerSecond, int leastPerZone) {
        mLeastPerZone = leastPerZone;
        mByCapacity = sorted(vms);
        for (FleetVm vm : mByCapacity) {
            mByZone.computeIfAbsent(vm.availabilityZone(), unused -> new ArrayList<>()).add(vm);
        }
        mRequestsPerZone = requestsPerSecond / Math.max(1, mByZone.size());
        mByCapacity.stream().map(FleetVm::region).distinct().forEach(this::chooseWatchers);
        mByCapacity.forEach(vm -> mSharedByRegion.computeIfAbsent(vm.region(), this::shared));
        mByZone.forEach(
                (zone, own) -> {
                    List<FleetVm> chosen = choose(zone, own.get(0).region());
                    mChosen.put(zone, chosen);
                    mTakers.addAll(chosen);
                });
    }

    /**
     * Returns where callers connect: VMs of their zone, then of their region, then any.
     *
     * @param zone the callers' availability zone
     * @param region the callers' region
     */
    public List<Endpoint> addresses(String zone, String region) {
        List<FleetVm> chosen = mChosen.get(zone);
        return (chosen == null ? choose(zone, region) : chosen)
                .stream().map(FleetVm::callerEndpoint).toList();
    }

    /** Returns the VMs that take the callers of any zone: those whose work is worth knowing of. */
    public Set<FleetVm> advertisedVms() {
        return mTakers;
    }

    /** Returns the VMs that hear of changes from the store itself and tell the others. */
    public Set<FleetVm> watchers() {
        return mWatchers;
    }

    /** Chooses who watches the store in a region: one VM of each zone in turn. */
    private void chooseWatchers(String region) {
        List<List<FleetVm>> zones =
                mByZone.values().stream()
                        .filter(vms -> vms.get(0).region().equals(region))
                        .sorted(Comparator.comparing(vms -> vms.get(0).availabilityZone()))
                        .toList();
        long inRegion = zones.stream().mapToLong(List::size).sum();
        Set<FleetVm> chosen = new HashSet<>();
        for (int round = 0; chosen.size() < Math.min(WATCHERS_A_REGION, inRegion); round++) {
            for (List<FleetVm> vms : zones) {
                if (round < vms.size() && chosen.size() < WATCHERS_A_REGION) {
                    chosen.add(vms.get(round));
                }
            }
        }
        mWatchers.addAll(chosen);
    }

    private static List<FleetVm> sorted(Collection<FleetVm> vms) {
        List<FleetVm> sorted = new ArrayList<>(vms);
        sorted.sort(
                Comparator.comparingDouble((FleetVm vm) -> -requestsPerSecond(vm.capacity()))
                        .thenComparingInt(vm -> scattered(vm.name()))
                        .thenComparing(FleetVm::name));
        return sorted;
    }

    /**
     * Chooses the VMs of a zone's callers: those of the zone, unless the most capable of the whole
     * region are as few or fewer. Guards against a zone that lost its large VMs: its callers would
     * meet at many small ones, where half of all answers took twice as long, while the large VMs of
     * the zones beside it had room.
     */
    private List<FleetVm> choose(String zone, String region) {
        List<FleetVm> own = mByZone.getOrDefault(zone, List.of());
        int ownCount = count(own, mRequestsPerZone);
        List<FleetVm> shared = mSharedByRegion.getOrDefault(region, List.of());
        if (ownCount > 0 && (shared.isEmpty() || ownCount <= shared.size())) {
            return List.copyOf(own.subList(0, ownCount));
        }
        if (!shared.isEmpty()) {
            return shared;
        }
        List<FleetVm> all = new ArrayList<>(mByCapacity);
        // A stable sort: among VMs of one distance the most capable stay first.
        all.sort(Comparator.comparingInt(vm -> distance(vm, zone, region)));
        int enough = count(all, mRequestsPerZone);
        return List.copyOf(all.subList(0, enough > 0 ? enough : Math.min(all.size(), most(all))));
    }

    /** Returns the most capable VMs of a region that carry all its callers; empty without. */
    private List<FleetVm> shared(String region) {
        List<FleetVm> vms = mByCapacity.stream().filter(vm -> vm.region().equals(region)).toList();
        long zones = vms.stream().map(FleetVm::availabilityZone).distinct().count();
        return List.copyOf(vms.subList(0, count(vms, mRequestsPerZone * zones)));
    }

    /**
     * Returns how many VMs from the beginning of a list carry some load if all of them get the
     * same; 0 if they don't.
     */
    private int count(List<FleetVm> vms, double requestsPerSecond) {
        for (int count = mLeastPerZone; count <= Math.min(MOST_ADDRESSES, vms.size()); count++) {
            if (evenLoad(vms, count) >= requestsPerSecond) {
                return count;
            }
        }
        return 0;
    }

    /** Returns the number of VMs that carry the most together, where none carries all. */
    private int most(List<FleetVm> vms) {
        int best = mLeastPerZone;
        for (int count = mLeastPerZone; count <= Math.min(MOST_ADDRESSES, vms.size()); count++) {
            if (evenLoad(vms, count) > evenLoad(vms, best)) {
                best = count;
            }
        }
        return best;
    }

    /** Returns the requests a second that some VMs carry if all of them get the same. */
    private static double evenLoad(List<FleetVm> vms, int count) {
        double least = Double.MAX_VALUE;
        for (FleetVm vm : vms.subList(0, count)) {
            least = Math.min(least, requestsPerSecond(vm.capacity()));
        }
        return count * least * PLANNED_USE;
    }

    private static double requestsPerSecond(VmCapacity capacity) {
        return Math.min(
                capacity.cores() / CORE_SECONDS_A_REQUEST,
                capacity.linkMegabits() / MEGABITS_A_REQUEST);
    }

    private static int distance(FleetVm vm, String zone, String region) {
        if (vm.availabilityZone().equals(zone)) {
            return 0;
        }
        return vm.region().equals(region) ? 1 : 2;
    }

    /** Names that differ in one digit must not sort by it, so the hash code's bits are mixed. */
    private static int scattered(String name) {
        int hash = name.hashCode() * 0x9E3779B9;
        return hash ^ (hash >>> 15);
    }
}
