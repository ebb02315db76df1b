package org.dahliapass.decisions.assignment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.decisions.membership.Shuffle;
import org.dahliapass.model.Vm;

/** Selects the VM addresses that a caller is given for a service, and their time to live. */
public final class AddressSelector {
    private static final int DEGRADED_TTL_DIVISOR = 4;

    private final int mMaxAddresses;
    private final Duration mTimeToLive;
    private final RandomGenerator mRandom;

    /**
     * Creates the selector.
     *
     * @param maxAddresses maximum number of addresses in a selection
     * @param timeToLive time to live of a selection while all VMs of the cell are alive
     * @param random source of randomness that spreads callers over the cell
     */
    public AddressSelector(int maxAddresses, Duration timeToLive, RandomGenerator random) {
        mMaxAddresses = maxAddresses;
        mTimeToLive = timeToLive;
        mRandom = random;
    }

    /**
     * Returns the addresses to use for a service.
     *
     * <p>Skips VMs that are leaving or suspected. While the cell has any, the time to live is a
     * quarter of the usual one, so that callers soon notice the recovery. If no VM of the cell is
     * alive, returns the suspected ones, because a suspicion may be false.
     *
     * @param cell the cell of the service, from {@link CellPlanner}
     * @param zone the caller's availability zone, whose VMs come first
     */
    public SelectedAddresses select(List<MemberUpdate> cell, Optional<String> zone) {
        List<Vm> usable = vmsIn(cell, MemberState.ALIVE);
        boolean complete = usable.size() == cell.size();
        if (usable.isEmpty()) {
            usable = vmsIn(cell, MemberState.SUSPECT);
        }
        Shuffle.shuffle(usable, mRandom);
        List<Vm> candidates = usable;
        zone.ifPresent(name -> candidates.sort(zoneFirst(name)));
        Duration timeToLive = complete ? mTimeToLive : mTimeToLive.dividedBy(DEGRADED_TTL_DIVISOR);
        return new SelectedAddresses(distinctZonesFirst(usable), timeToLive);
    }

    private static Comparator<Vm> zoneFirst(String zone) {
        return Comparator.comparing(vm -> !vm.availabilityZone().equals(zone));
    }

    private static List<Vm> vmsIn(List<MemberUpdate> cell, MemberState state) {
        List<Vm> vms = new ArrayList<>(cell.size());
        for (MemberUpdate member : cell) {
            if (member.state() == state) {
                vms.add(member.vm());
            }
        }
        return vms;
    }

    private List<Vm> distinctZonesFirst(List<Vm> vms) {
        List<Vm> ordered = new ArrayList<>(vms.size());
        List<Vm> rest = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        for (Vm vm : vms) {
            (zones.add(vm.availabilityZone()) ? ordered : rest).add(vm);
        }
        ordered.addAll(rest);
        return List.copyOf(ordered.subList(0, Math.min(mMaxAddresses, ordered.size())));
    }
}
