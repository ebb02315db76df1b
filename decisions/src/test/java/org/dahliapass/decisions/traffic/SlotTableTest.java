package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import java.util.Map;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;
import org.testng.annotations.Test;

/** Tests {@link SlotTable}. */
public final class SlotTableTest {
    private static final Endpoint TARGET = Kinds.endpoint(1);
    private static final VmIdentity SELF = new VmIdentity("a", 1);
    private static final VmIdentity PEER = new VmIdentity("b", 1);
    private static final VmIdentity THIRD = new VmIdentity("c", 1);

    @Test
    public void ownRequestsUseSlots() {
        SlotTable slots = new SlotTable(3, 100);
        slots.acquire(TARGET, false);
        slots.acquire(TARGET, true);
        assertEquals(slots.unusedSlots(TARGET, 3, 0), 1);
        slots.release(TARGET, true);
        assertEquals(slots.unusedSlots(TARGET, 3, 0), 2);
    }

    @Test
    public void releasingASlotTwiceFails() {
        SlotTable slots = new SlotTable(3, 100);
        slots.acquire(TARGET, false);
        slots.release(TARGET, false);
        assertThrows(IllegalStateException.class, () -> slots.release(TARGET, false));
    }

    @Test
    public void reportsLoseWeightWithAge() {
        SlotTable slots = tableInCell();
        slots.onPeerInFlight(PEER, TARGET, 2, 0);
        assertEquals(slots.peersInFlight(TARGET, 0), 2.0);
        assertEquals(slots.peersInFlight(TARGET, 100), 1.0);
        assertEquals(slots.peersInFlight(TARGET, 1_000), 0.0);
    }

    @Test
    public void reportOfAVmThatLeftTheCellIsDropped() {
        SlotTable slots = tableInCell();
        slots.onPeerInFlight(PEER, TARGET, 2, 0);
        slots.onCell(SELF, List.of(THIRD));
        assertEquals(slots.peersInFlight(TARGET, 0), 0.0);
    }

    // Outdated reports of full targets must not make a VM refuse requests within its own share.
    @Test
    public void ownShareIsAvailableDespiteReportsOfFullTargets() {
        SlotTable slots = tableInCell();
        slots.onPeerInFlight(PEER, TARGET, 3, 0);
        slots.onPeerInFlight(THIRD, TARGET, 3, 0);
        assertEquals(slots.unusedSlots(TARGET, 3, 0), 0);
        assertEquals(slots.ownFreeSlots(TARGET, 3), 1);
        slots.acquire(TARGET, false);
        assertEquals(slots.ownFreeSlots(TARGET, 3), 0);
    }

    @Test
    public void sharesAddUpToTheSlots() {
        List<VmIdentity> cell =
                List.of(SELF, PEER, THIRD, new VmIdentity("d", 1), new VmIdentity("e", 1));
        for (int number = 0; number < 30; number++) {
            int sum = 0;
            for (VmIdentity member : cell) {
                SlotTable slots = new SlotTable(3, 100);
                slots.onCell(member, cell);
                sum += slots.ownShare(Kinds.endpoint(number), 3);
            }
            assertEquals(sum, 3, "shares of target " + number);
        }
    }

    private static SlotTable tableInCell() {
        SlotTable slots = new SlotTable(3, 100);
        slots.onCell(SELF, List.of(SELF, PEER, THIRD));
        return slots;
    }

    /** The report of the released slot was lost, and later reports don't list the target. */
    @Test
    public void unlistedTargetIsFree() {
        SlotTable slots = new SlotTable(3, 1_000);
        Endpoint other = Kinds.endpoint(7);
        slots.onPeerReport(PEER, Map.of(TARGET, 2), 0);
        assertEquals(slots.peersInFlight(TARGET, 0), 2.0);
        slots.onPeerReport(PEER, Map.of(other, 1), 100);
        assertEquals(slots.peersInFlight(TARGET, 100), 0.0);
        assertEquals(slots.peersInFlight(other, 100), 1.0);
    }
}
