package org.dahliapass.decisions.assignment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.model.Vm;
import org.testng.annotations.Test;

/** Checks which addresses an ask gets. */
public final class AddressSelectorTest {
    private static final Duration TIME_TO_LIVE = Duration.ofSeconds(20);

    private final AddressSelector mPolicy = new AddressSelector(3, TIME_TO_LIVE, new Random(1));

    @Test
    public void addressesAreOfDifferentZones() {
        SelectedAddresses answer = mPolicy.select(CellPlannerTest.fleet(6), Optional.empty());
        Set<String> zones = new HashSet<>();
        answer.vms().forEach(vm -> zones.add(vm.availabilityZone()));
        assertEquals(zones.size(), 3);
        assertEquals(answer.timeToLive(), TIME_TO_LIVE);
    }

    @Test
    public void callersZoneComesFirst() {
        for (int i = 0; i < 20; i++) {
            SelectedAddresses answer =
                    mPolicy.select(CellPlannerTest.fleet(6), Optional.of("zone-2"));
            assertEquals(answer.vms().get(0).availabilityZone(), "zone-2");
        }
    }

    @Test
    public void callersAreSpreadOverTheCell() {
        Set<Vm> first = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            first.add(mPolicy.select(CellPlannerTest.fleet(6), Optional.empty()).vms().get(0));
        }
        assertEquals(first.size(), 6);
    }

    @Test
    public void leavingAndSuspectedVmsAreSkippedForAShorterTime() {
        List<MemberUpdate> cell = CellPlannerTest.fleet(6);
        Vm leaving = cell.get(0).vm();
        Vm suspected = cell.get(1).vm();
        cell.set(0, CellPlannerTest.with(cell.get(0), MemberState.LEAVING));
        cell.set(1, CellPlannerTest.with(cell.get(1), MemberState.SUSPECT));
        SelectedAddresses answer = mPolicy.select(cell, Optional.of("zone-0"));
        assertFalse(answer.vms().contains(leaving));
        assertFalse(answer.vms().contains(suspected));
        assertTrue(answer.timeToLive().compareTo(TIME_TO_LIVE) < 0);
    }

    @Test
    public void onlySuspectedVmsAreBetterThanNone() {
        List<MemberUpdate> cell = CellPlannerTest.fleet(1);
        cell.set(0, CellPlannerTest.with(cell.get(0), MemberState.SUSPECT));
        assertEquals(mPolicy.select(cell, Optional.empty()).vms(), List.of(cell.get(0).vm()));
    }

    @Test
    public void leavingVmIsNeverNamed() {
        List<MemberUpdate> cell = CellPlannerTest.fleet(1);
        cell.set(0, CellPlannerTest.with(cell.get(0), MemberState.LEAVING));
        assertTrue(mPolicy.select(cell, Optional.empty()).vms().isEmpty());
    }
}
