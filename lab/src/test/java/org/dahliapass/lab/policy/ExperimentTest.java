package org.dahliapass.lab.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link Experiment} and the {@link Row} that sums it up. */
public class ExperimentTest {
    private static final Deployment DEPLOYMENT = Deployment.HIMAL_DESK;

    @Test
    public void sameSeedGivesTheSameRow() {
        Row first = row(Fault.FAILS_HALF, Contender.CELL, 3);
        assertEquals(row(Fault.FAILS_HALF, Contender.CELL, 3), first);
    }

    @Test
    public void otherSeedGivesAnotherRow() {
        Row first = row(Fault.FAILS_HALF, Contender.CELL, 3);
        assertNotEquals(row(Fault.FAILS_HALF, Contender.CELL, 4), first);
    }

    @Test
    public void failingTargetThatAnswersProbesIsFoundByWorkAndNotByProbes() {
        assertTrue(row(Fault.FAILS_ALL, Contender.CELL, 1).detectionHighMillis() > 0);
        assertEquals(row(Fault.FAILS_ALL, Contender.PROBES, 1).missedPercent(), 100.0);
    }

    @Test
    public void floorIsKeptByTheDecisionsAndCrossedByTheBaselineWhenAllFail() {
        assertFalse(row(Fault.ALL_FAIL, Contender.CELL, 1).crossed());
        assertTrue(row(Fault.ALL_FAIL, Contender.CONSECUTIVE_FAILURES, 1).crossed());
    }

    @Test
    public void nothingIsFoundWhereNothingIsWrong() {
        Row row = row(Fault.NONE, Contender.CELL, 1);
        assertEquals(row.detectionMedianMillis(), -1.0);
        assertEquals(row.healthyEjectedSeconds(), 0.0);
    }

    private static Row row(Fault fault, Contender contender, long seed) {
        Measurement run = new Experiment(DEPLOYMENT, fault, contender, 0.5, seed).run();
        return Row.of(DEPLOYMENT, fault, contender, 0.5, List.of(run));
    }
}
