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

/** Chooses the addresses that an ask gets, and for how long they hold. */
public final class AddressSelector {
    private static final int SHORTENED_BY = 4;

    private final int mAddresses;
    private final Duration mTimeToLive;
    private final RandomGenerator mRandom;

    /**
     * Creates the policy.
     *
     * @param addresses how many addresses an ask gets at most
     * @param timeToLive how long an answer holds while the cell is whole
     * @param random spreads callers over the cell
     */
    public AddressSelector(int addresses, Duration timeToLive, RandomGenerator random) {
        mAddresses = addresses;
        mTimeToLive = timeToLive;
        mRandom = random;
    }

    /**
     * Returns the answer to an ask.
     *
     * <p>VMs that leave or are suspected are skipped; while some of the cell are, the answer holds
     * a quarter of the usual time, so that callers soon see the cell whole again. If no VM of the
     * cell is free of suspicion, the suspected ones are named: a suspicion may be false, and an
     * empty answer is no use to the caller.
     *
     * @param cell the cell of the service, from {@link CellPlanner}
     * @param zone the caller's availability zone, whose VMs come first
     */
    public SelectedAddresses select(List<MemberUpdate> cell, Optional<String> zone) {
        List<Vm> usable = vmsIn(cell, MemberState.ALIVE);
        boolean whole = usable.size() == cell.size();
        if (usable.isEmpty()) {
            usable = vmsIn(cell, MemberState.SUSPECT);
        }
        Shuffle.shuffle(usable, mRandom);
        List<Vm> candidates = usable;
        zone.ifPresent(name -> candidates.sort(inZoneFirst(name)));
        Duration timeToLive = whole ? mTimeToLive : mTimeToLive.dividedBy(SHORTENED_BY);
        return new SelectedAddresses(differentZonesFirst(usable), timeToLive);
    }

    private static Comparator<Vm> inZoneFirst(String zone) {
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

    private List<Vm> differentZonesFirst(List<Vm> vms) {
        List<Vm> ordered = new ArrayList<>(vms.size());
        List<Vm> rest = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        for (Vm vm : vms) {
            (zones.add(vm.availabilityZone()) ? ordered : rest).add(vm);
        }
        ordered.addAll(rest);
        return List.copyOf(ordered.subList(0, Math.min(mAddresses, ordered.size())));
    }
}
