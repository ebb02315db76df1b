package org.dahliapass.lab.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that the reduced fleet shows storms as they are. */
public final class StormFleetTest {
    private static final int VMS = 16;
    private static final int SECONDS = 40;

    @Test
    public void lostVmsAreDisagreedOnUntilAllHoldThemDead() {
        StormFleet fleet = new StormFleet(VMS);
        fleet.second();
        assertTrue(fleet.agrees());

        fleet.fail(number -> number < 2);
        assertFalse(fleet.agrees());
        run(fleet);

        assertTrue(fleet.agrees());
        assertEquals(fleet.second().length, VMS - 2);
    }

    @Test
    public void splitRegionsAgreeOnlyAfterTheHealing() {
        StormFleet fleet = new StormFleet(VMS);
        fleet.setSplit(true);
        run(fleet);
        assertFalse(fleet.agrees());

        fleet.setSplit(false);
        run(fleet);

        assertTrue(fleet.agrees());
    }

    @Test
    public void successorsOfReplacedVmsAreTaken() {
        StormFleet fleet = new StormFleet(VMS);
        fleet.second();

        fleet.replace(number -> number == 3);
        assertFalse(fleet.agrees());
        run(fleet);

        assertTrue(fleet.agrees());
    }

    @Test
    public void aChangeReachesAlmostAllVmsByRumorAndNobodyTwiceOver() {
        RumorRun.Result result = RumorRun.of(256);

        assertTrue(result.reached() > 0.9, "Reached: " + result.reached());
        assertTrue(result.messages() <= 4L * 256, "Messages: " + result.messages());
    }

    private static void run(StormFleet fleet) {
        for (int second = 0; second < SECONDS; second++) {
            fleet.second();
        }
    }
}
