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

/** Tests for {@link AddressSelector}. */
public final class AddressSelectorTest {
    private static final Duration TIME_TO_LIVE = Duration.ofSeconds(20);

    private final AddressSelector mSelector = new AddressSelector(3, TIME_TO_LIVE, new Random(1));

    @Test
    public void addressesAreInDistinctZones() {
        SelectedAddresses selection = mSelector.select(CellPlannerTest.fleet(6), Optional.empty());
        Set<String> zones = new HashSet<>();
        selection.vms().forEach(vm -> zones.add(vm.availabilityZone()));
        assertEquals(zones.size(), 3);
        assertEquals(selection.timeToLive(), TIME_TO_LIVE);
    }

    @Test
    public void callerZoneComesFirst() {
        for (int i = 0; i < 20; i++) {
            SelectedAddresses selection =
                    mSelector.select(CellPlannerTest.fleet(6), Optional.of("zone-2"));
            assertEquals(selection.vms().get(0).availabilityZone(), "zone-2");
        }
    }

    @Test
    public void callersAreSpreadOverCell() {
        Set<Vm> first = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            first.add(mSelector.select(CellPlannerTest.fleet(6), Optional.empty()).vms().get(0));
        }
        assertEquals(first.size(), 6);
    }

    @Test
    public void leavingAndSuspectedVmsAreSkippedWithShorterTimeToLive() {
        List<MemberUpdate> cell = CellPlannerTest.fleet(6);
        Vm leaving = cell.get(0).vm();
        Vm suspected = cell.get(1).vm();
        cell.set(0, CellPlannerTest.with(cell.get(0), MemberState.LEAVING));
        cell.set(1, CellPlannerTest.with(cell.get(1), MemberState.SUSPECT));
        SelectedAddresses selection = mSelector.select(cell, Optional.of("zone-0"));
        assertFalse(selection.vms().contains(leaving));
        assertFalse(selection.vms().contains(suspected));
        assertTrue(selection.timeToLive().compareTo(TIME_TO_LIVE) < 0);
    }

    @Test
    public void suspectedVmsAreReturnedIfNoneIsAlive() {
        List<MemberUpdate> cell = CellPlannerTest.fleet(1);
        cell.set(0, CellPlannerTest.with(cell.get(0), MemberState.SUSPECT));
        assertEquals(mSelector.select(cell, Optional.empty()).vms(), List.of(cell.get(0).vm()));
    }

    @Test
    public void leavingVmIsNeverReturned() {
        List<MemberUpdate> cell = CellPlannerTest.fleet(1);
        cell.set(0, CellPlannerTest.with(cell.get(0), MemberState.LEAVING));
        assertTrue(mSelector.select(cell, Optional.empty()).vms().isEmpty());
    }
}
