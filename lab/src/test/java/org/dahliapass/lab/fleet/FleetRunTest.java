package org.dahliapass.lab.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.kernel.SettingsException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replays loads under which targets fail grayly, on a virtual clock with fixed seeds. */
public final class FleetRunTest {
    private static final int RUNS = 4;

    @Test
    public void runRepeatsWithItsSeed() {
        Scenario scenario = Scenario.ofName("mixed-errors");
        assertEquals(
                FleetSimulation.simulate(scenario, PlacementStrategy.PRODUCTION, 7),
                FleetSimulation.simulate(scenario, PlacementStrategy.PRODUCTION, 7));
    }

    /**
     * Callers' confirmations end with an error of a target that had failed the ones before. A
     * target answers errors in a millisecond for some seconds, so it always looks idle, and nothing
     * that may repeat goes there to find out. A choice by load alone loses a fifth of all requests.
     */
    @Test
    public void locksLeaveTargetsThatAnswerErrors() {
        double failed = mean("locks-errors", PlacementStrategy.PRODUCTION, FleetResult::failed);
        assertTrue(failed < 0.03, "failed: " + failed);
        double byLoad = mean("locks-errors", PlacementStrategy.POWER_OF_TWO, FleetResult::failed);
        assertTrue(byLoad > 0.15, "failed by load alone: " + byLoad);
    }

    /**
     * Lookups end with an error although another target would have answered. Hedges of answers that
     * merely took long had spent the further tries of the service.
     */
    @Test
    public void readsKeepTheirFurtherTriesForFailures() {
        double served = mean("reads-errors", PlacementStrategy.PRODUCTION, FleetResult::served);
        assertTrue(served > 0.97, "served: " + served);
        double further =
                mean("reads-errors", PlacementStrategy.PRODUCTION, FleetResult::extraAttempts);
        assertTrue(further < 0.08, "further tries: " + further);
    }

    /**
     * One VM sends lock after lock into a cut between itself and a target, because all others tell
     * that the target is well.
     */
    @Test
    public void locksLeavePathsThatSwallowThem() {
        double failed = mean("cut-paths", PlacementStrategy.PRODUCTION, FleetResult::failed);
        assertTrue(failed < 0.035, "failed: " + failed);
    }

    /**
     * Callers lose one confirmation in seven on its way back, whichever target has it, and half of
     * the targets that work well get nothing for seconds. Work went to the targets with the newest
     * proof; the others were never tried, since their doubt grows by itself and costs more than a
     * free slot saves. The ejections keep the service's floor, the choice of a target did not.
     */
    @Test
    public void workStaysSpreadOverTheFloorWhileAnswersAreLost() {
        double below =
                mean("lost-answers", PlacementStrategy.PRODUCTION, FleetResult::windowsBelowFloor);
        assertEquals(below, 0.0, "windows in which less than the floor was in use");
    }

    /** Guards against a read that takes a service down target by target, at any VM. */
    @Test
    public void requestThatEndsItsTargetsIsKeptFromThem() {
        double ended = mean("poison", PlacementStrategy.PRODUCTION, FleetResult::poisonCrashes);
        assertTrue(ended <= 6, "targets ended: " + ended);
        double late =
                mean("poison", PlacementStrategy.PRODUCTION, FleetResult::latePoisonDeliveries);
        assertEquals(late, 0.0, "sent later than 3 s after the third end");
        double without = mean("poison", PlacementStrategy.POWER_OF_TWO, FleetResult::poisonCrashes);
        assertTrue(without > 30, "targets ended without it: " + without);
    }

    /** Guards against reads that are refused since a rack was lost under many of them. */
    @Test
    public void readsThatAreAlikeAreServedAfterARackIsLost() {
        double held = mean("rack-lost", PlacementStrategy.PRODUCTION, FleetResult::quarantined);
        assertEquals(held, 0.0, "held back");
    }

    @DataProvider
    public Object[][] scenarios() {
        return FleetMain.SCENARIOS.stream()
                .map(name -> new Object[] {name})
                .toArray(Object[][]::new);
    }

    /** Whatever goes wrong, work that looks at its targets earns no less than work that doesn't. */
    @Test(dataProvider = "scenarios")
    public void earnsNoLessThanAChoiceByLoad(String name) {
        double worth = mean(name, PlacementStrategy.PRODUCTION, FleetResult::payoffRatio);
        double byLoad = mean(name, PlacementStrategy.POWER_OF_TWO, FleetResult::payoffRatio);
        assertTrue(worth > byLoad - 0.005, worth + " against " + byLoad);
    }

    @Test
    public void unknownScenarioIsNamed() {
        assertThrows(OperationException.class, () -> Scenario.ofName("none"));
    }

    @Test
    public void scenarioWithoutTargetsIsRefused() {
        assertThrows(SettingsException.class, () -> Scenario.read("x", "[fleet]\nvms = 2\n"));
    }

    private static double mean(
            String name, PlacementStrategy choice, ToDoubleFunction<FleetResult> figure) {
        Scenario scenario = Scenario.ofName(name);
        List<FleetResult> runs =
                LongStream.rangeClosed(1, RUNS)
                        .parallel()
                        .mapToObj(seed -> FleetSimulation.simulate(scenario, choice, seed))
                        .toList();
        return runs.stream().mapToDouble(figure).average().orElseThrow();
    }
}
