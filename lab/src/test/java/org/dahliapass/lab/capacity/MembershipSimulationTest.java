package org.dahliapass.lab.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests for {@link MembershipSimulation} and {@link RumorSimulation}. */
public final class MembershipSimulationTest {
    private static final int VMS = 16;
    private static final int SECONDS = 40;

    @Test
    public void convergesAfterVmsCrash() {
        MembershipSimulation fleet = new MembershipSimulation(VMS);
        fleet.advanceSecond();
        assertTrue(fleet.isConverged());

        fleet.fail(number -> number < 2);
        assertFalse(fleet.isConverged());
        run(fleet);

        assertTrue(fleet.isConverged());
        assertEquals(fleet.advanceSecond().length, VMS - 2);
    }

    @Test
    public void convergesOnlyAfterPartitionEnds() {
        MembershipSimulation fleet = new MembershipSimulation(VMS);
        fleet.setPartitioned(true);
        run(fleet);
        assertFalse(fleet.isConverged());

        fleet.setPartitioned(false);
        run(fleet);

        assertTrue(fleet.isConverged());
    }

    @Test
    public void convergesAfterVmIsReplaced() {
        MembershipSimulation fleet = new MembershipSimulation(VMS);
        fleet.advanceSecond();

        fleet.replace(number -> number == 3);
        assertFalse(fleet.isConverged());
        run(fleet);

        assertTrue(fleet.isConverged());
    }

    @Test
    public void rumorReachesMostVmsWithinMessageBound() {
        RumorSimulation.Result result = RumorSimulation.simulate(256);

        assertTrue(result.reached() > 0.9, "Reached: " + result.reached());
        assertTrue(result.messages() <= 4L * 256, "Messages: " + result.messages());
    }

    private static void run(MembershipSimulation fleet) {
        for (int second = 0; second < SECONDS; second++) {
            fleet.advanceSecond();
        }
    }
}
