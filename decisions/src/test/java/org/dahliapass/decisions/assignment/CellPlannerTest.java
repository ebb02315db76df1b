package org.dahliapass.decisions.assignment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.testng.annotations.Test;

/** Tests for {@link CellPlanner}. */
public final class CellPlannerTest {
    private static final int ZONES = 3;
    private static final int CELL_SIZE = 6;

    @Test
    public void cellHasTwoVmsInEachZone() {
        Map<String, Integer> perZone = new HashMap<>();
        for (MemberUpdate member : CellPlanner.plan(service(1), CELL_SIZE, fleet(36))) {
            perZone.merge(member.vm().availabilityZone(), 1, Integer::sum);
        }
        assertEquals(perZone, Map.of("zone-0", 2, "zone-1", 2, "zone-2", 2));
    }

    @Test
    public void orderOfMembersDoesNotMatter() {
        List<MemberUpdate> shuffled = fleet(36);
        Collections.shuffle(shuffled, new Random(1));
        assertEquals(
                CellPlanner.plan(service(1), CELL_SIZE, shuffled),
                CellPlanner.plan(service(1), CELL_SIZE, fleet(36)));
    }

    @Test
    public void lostVmChangesOnlyItsOwnSlot() {
        for (int number = 0; number < 100; number++) {
            List<MemberUpdate> fleet = fleet(36);
            List<MemberUpdate> before = CellPlanner.plan(service(number), CELL_SIZE, fleet);
            MemberUpdate lost = before.get(number % CELL_SIZE);
            fleet.remove(lost);
            Set<MemberUpdate> kept = new HashSet<>(before);
            kept.retainAll(CellPlanner.plan(service(number), CELL_SIZE, fleet));
            assertEquals(kept.size(), CELL_SIZE - 1, "service " + number);
        }
    }

    @Test
    public void vmOutsideCellDoesNotMatter() {
        List<MemberUpdate> fleet = fleet(36);
        List<MemberUpdate> before = CellPlanner.plan(service(1), CELL_SIZE, fleet);
        fleet.retainAll(before);
        assertEquals(CellPlanner.plan(service(1), CELL_SIZE, fleet), before);
    }

    @Test
    public void leavingVmIsRemovedAndSuspectedVmStays() {
        List<MemberUpdate> fleet = fleet(36);
        MemberUpdate first = CellPlanner.plan(service(1), CELL_SIZE, fleet).get(0);
        fleet.set(fleet.indexOf(first), with(first, MemberState.SUSPECT));
        assertEquals(
                CellPlanner.plan(service(1), CELL_SIZE, fleet).get(0).identity(), first.identity());
        fleet.set(
                fleet.indexOf(with(first, MemberState.SUSPECT)), with(first, MemberState.LEAVING));
        assertTrue(
                CellPlanner.plan(service(1), CELL_SIZE, fleet).stream()
                        .noneMatch(member -> member.identity().equals(first.identity())));
    }

    @Test
    public void smallFleetGivesSmallCell() {
        assertEquals(CellPlanner.plan(service(1), CELL_SIZE, fleet(4)).size(), 4);
        assertTrue(CellPlanner.plan(service(1), CELL_SIZE, List.of()).isEmpty());
    }

    @Test
    public void servicesAreSpreadEvenly() {
        Map<VmIdentity, Integer> slots = new HashMap<>();
        int services = 3_000;
        List<MemberUpdate> fleet = fleet(36);
        for (int number = 0; number < services; number++) {
            for (MemberUpdate member : CellPlanner.plan(service(number), CELL_SIZE, fleet)) {
                slots.merge(member.identity(), 1, Integer::sum);
            }
        }
        double expected = (double) services * CELL_SIZE / fleet.size();
        for (Map.Entry<VmIdentity, Integer> entry : slots.entrySet()) {
            double share = entry.getValue() / expected;
            assertTrue(
                    share > 0.8 && share < 1.2,
                    entry + ": expected a share from 0.8 to 1.2 of the mean, got " + share);
        }
    }

    static List<MemberUpdate> fleet(int size) {
        List<MemberUpdate> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Endpoint address = new Endpoint("10.0.0." + i, 80);
            VmIdentity identity = new VmIdentity("vm-" + i, 1);
            Vm vm = new Vm(identity, "zone-" + i % ZONES, address, address);
            fleet.add(new MemberUpdate(vm, address, MemberState.ALIVE, 0));
        }
        return fleet;
    }

    static MemberUpdate with(MemberUpdate member, MemberState state) {
        return new MemberUpdate(member.vm(), member.operators(), state, member.refutation());
    }

    private static ServiceId service(int number) {
        return new ServiceId("customer", "service-" + number);
    }
}
