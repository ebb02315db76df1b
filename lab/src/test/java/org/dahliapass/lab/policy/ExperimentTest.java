package org.dahliapass.lab.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link Experiment} and {@link ResultRow}. */
public class ExperimentTest {
    private static final Deployment DEPLOYMENT = Deployment.HIMAL_DESK;

    @Test
    public void sameSeedGivesSameRow() {
        ResultRow first = row(Fault.FAILS_HALF, PolicyVariant.CELL, 3);
        assertEquals(row(Fault.FAILS_HALF, PolicyVariant.CELL, 3), first);
    }

    @Test
    public void differentSeedGivesDifferentRow() {
        ResultRow first = row(Fault.FAILS_HALF, PolicyVariant.CELL, 3);
        assertNotEquals(row(Fault.FAILS_HALF, PolicyVariant.CELL, 4), first);
    }

    @Test
    public void failingTargetThatAnswersProbesIsDetectedByRequestsOnly() {
        assertTrue(row(Fault.FAILS_ALL, PolicyVariant.CELL, 1).detectionHighMillis() > 0);
        assertEquals(row(Fault.FAILS_ALL, PolicyVariant.PROBES, 1).missedPercent(), 100.0);
    }

    @Test
    public void floorHoldsForProductionButNotForBaselineWhenAllTargetsFail() {
        assertFalse(row(Fault.ALL_FAIL, PolicyVariant.CELL, 1).crossed());
        assertTrue(row(Fault.ALL_FAIL, PolicyVariant.CONSECUTIVE_FAILURES, 1).crossed());
    }

    @Test
    public void nothingIsEjectedWithoutFault() {
        ResultRow row = row(Fault.NONE, PolicyVariant.CELL, 1);
        assertEquals(row.detectionMedianMillis(), -1.0);
        assertEquals(row.healthyEjectedSeconds(), 0.0);
    }

    private static ResultRow row(Fault fault, PolicyVariant variant, long seed) {
        Measurement run = new Experiment(DEPLOYMENT, fault, variant, 0.5, seed).run();
        return ResultRow.of(DEPLOYMENT, fault, variant, 0.5, List.of(run));
    }
}
