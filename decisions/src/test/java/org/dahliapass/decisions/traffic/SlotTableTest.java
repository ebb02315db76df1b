package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
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
    public void ownRequestsTakeSlots() {
        SlotTable slots = new SlotTable(3, 100);
        slots.onStarted(TARGET, false);
        slots.onStarted(TARGET, true);
        assertEquals(slots.unused(TARGET, 3, 0), 1);
        slots.onEnded(TARGET, true);
        assertEquals(slots.unused(TARGET, 3, 0), 2);
    }

    @Test
    public void slotGivenBackTwiceIsAnError() {
        SlotTable slots = new SlotTable(3, 100);
        slots.onStarted(TARGET, false);
        slots.onEnded(TARGET, false);
        assertThrows(IllegalStateException.class, () -> slots.onEnded(TARGET, false));
    }

    @Test
    public void freshReportTakesSlotsAndOldOneFades() {
        SlotTable slots = tableInCell();
        slots.onPeerInFlight(PEER, TARGET, 2, 0);
        assertEquals(slots.others(TARGET, 0), 2.0);
        assertEquals(slots.others(TARGET, 100), 1.0);
        assertEquals(slots.others(TARGET, 1_000), 0.0);
    }

    @Test
    public void reportOfVmThatLeftTheCellIsForgotten() {
        SlotTable slots = tableInCell();
        slots.onPeerInFlight(PEER, TARGET, 2, 0);
        slots.onCell(SELF, List.of(THIRD));
        assertEquals(slots.others(TARGET, 0), 0.0);
    }

    // A VM's slots stay unused and its callers are refused, although targets are idle: the peers'
    // last reports said "full", and then the peers fell silent. A VM's own share must stay its own.
    @Test
    public void reportsOfFullTargetsLeaveTheOwnShare() {
        SlotTable slots = tableInCell();
        slots.onPeerInFlight(PEER, TARGET, 3, 0);
        slots.onPeerInFlight(THIRD, TARGET, 3, 0);
        assertEquals(slots.unused(TARGET, 3, 0), 0);
        assertEquals(slots.ownFree(TARGET, 3), 1);
        slots.onStarted(TARGET, false);
        assertEquals(slots.ownFree(TARGET, 3), 0);
    }

    @Test
    public void sharesOfAllVmsAddUpToTheSlots() {
        List<VmIdentity> cell =
                List.of(SELF, PEER, THIRD, new VmIdentity("d", 1), new VmIdentity("e", 1));
        for (int number = 0; number < 30; number++) {
            int sum = 0;
            for (VmIdentity member : cell) {
                SlotTable slots = new SlotTable(3, 100);
                slots.onCell(member, cell);
                sum += slots.share(Kinds.endpoint(number), 3);
            }
            assertEquals(sum, 3, "shares of target " + number);
        }
    }

    private static SlotTable tableInCell() {
        SlotTable slots = new SlotTable(3, 100);
        slots.onCell(SELF, List.of(SELF, PEER, THIRD));
        return slots;
    }
}
