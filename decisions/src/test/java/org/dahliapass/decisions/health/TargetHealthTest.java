package org.dahliapass.decisions.health;

import static org.dahliapass.decisions.health.CellFixture.KIND;
import static org.dahliapass.decisions.health.CellFixture.endpoint;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.function.BiFunction;
import org.dahliapass.model.explain.Action;
import org.testng.annotations.Test;

/** Tests {@link TargetHealth}. */
public class TargetHealthTest {
    @Test
    public void targetThatFailsForAllIsEjectedByAll() {
        // A user's lookups fail now and then. One target answers with errors to every VM. The cell
        // pools what its VMs saw, and all of them take it out.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.rounds(4, TargetHealthTest::firstFails);
        for (int vm = 0; vm < 6; vm++) {
            assertEquals(cell.state(vm, 0), TargetState.EJECTED);
            assertEquals(cell.vm(vm).view().activeTargets(), 9);
        }
        assertTrue(cell.explained(Action.EJECTED));
    }

    @Test
    public void targetThatIsWellStaysActive() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(100, TargetHealthTest::allWell);
        assertEquals(cell.vm(0).view().activeTargets(), 10);
        assertEquals(cell.weight(0, 0), 1.0);
    }

    @Test
    public void targetThatOneVmCannotReachIsAvoidedThereOnly() {
        // One VM's packets to a target are lost; the target works for all others. That VM stops
        // using it at once; for the cell it isn't sick.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.rounds(
                8,
                (vm, target) -> vm == 2 && target == 0 ? Outcome.CONNECT_FAILED : Outcome.SUCCESS);
        assertEquals(cell.state(2, 0), TargetState.AVOIDED_HERE);
        assertEquals(cell.state(1, 0), TargetState.ACTIVE);
        assertEquals(cell.state(5, 0), TargetState.ACTIVE);
    }

    @Test
    public void targetThatOneZoneCannotReachIsEjectedNowhere() {
        // A whole zone loses its way to a target. Its two VMs agree that it fails, but they share
        // the path; the other zones still work with it.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.rounds(
                30, (vm, target) -> vm % 3 == 0 && target == 0 ? Outcome.TIMEOUT : Outcome.SUCCESS);
        assertFalse(cell.explained(Action.EJECTED));
        assertEquals(cell.state(1, 0), TargetState.ACTIVE);
    }

    @Test
    public void vmThatHearsNobodyEjectsOnItsOwnEvidence() {
        CellFixture cell = new CellFixture(1, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.rounds(12, TargetHealthTest::firstFails);
        assertEquals(cell.state(0, 0), TargetState.EJECTED);
    }

    @Test
    public void probesThatAreAnsweredDoNotClearTargetThatFailsWork() {
        // The target's probe handler is well while its work fails: the classic gray failure.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        for (int round = 0; round < 4; round++) {
            for (int probe = 0; probe < 20; probe++) {
                cell.vm(0).onProbe(endpoint(0), true, cell.mNowMillis);
                cell.vm(0).onHealthReport(endpoint(0), HealthReport.SERVING, cell.mNowMillis);
            }
            cell.round(TargetHealthTest::firstFails);
        }
        assertEquals(cell.state(0, 0), TargetState.EJECTED);
    }

    @Test
    public void reportOfSicknessDoesNotOverruleWorkThatGoesWell() {
        CellFixture cell = new CellFixture(6, 10);
        for (int round = 0; round < 40; round++) {
            cell.vm(0).onHealthReport(endpoint(0), HealthReport.UNHEALTHY, cell.mNowMillis);
            cell.vm(0).onLoadReport(endpoint(0), 1.0);
            cell.round(TargetHealthTest::allWell);
        }
        assertEquals(cell.state(0, 0), TargetState.ACTIVE);
        assertEquals(cell.weight(0, 0), 1.0);
    }

    @Test
    public void allTargetsThatFailAlikeStay() {
        // A store behind all targets is down: each request fails wherever it goes. Taking targets
        // out would only add load to the rest.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(40, TargetHealthTest::allWell);
        cell.rounds(40, (vm, target) -> Outcome.FAILURE);
        assertEquals(cell.vm(0).view().activeTargets(), 10);
        assertFalse(cell.explained(Action.EJECTED));
    }

    @Test
    public void refusalsAndCancellationsAreNoEvidence() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.rounds(
                20,
                (vm, target) -> {
                    if (target > 1) {
                        return Outcome.SUCCESS;
                    }
                    return target == 0 ? Outcome.REFUSED_SHED : Outcome.CANCELLED;
                });
        assertEquals(cell.vm(0).view().activeTargets(), 10);
    }

    @Test
    public void floorHoldsSickTargetsWhenTooFewOthersAreWell() {
        // Six of ten targets fail at once; the floor is six. The four that are well are fewer than
        // the floor, so nobody is taken out, and the operators are told so.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.rounds(20, (vm, target) -> target < 6 ? Outcome.FAILURE : Outcome.SUCCESS);
        assertEquals(cell.vm(0).view().activeTargets(), 10);
        assertTrue(cell.explained(Action.FLOOR_HELD));
    }

    @Test
    public void stragglerGetsLessWorkBeforeItIsEjected() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        BiFunction<Integer, Integer, Long> twiceAsSlow = (vm, target) -> target == 0 ? 100L : 50L;
        for (int round = 0; round < 40; round++) {
            cell.round(TargetHealthTest::allWell, twiceAsSlow);
        }
        assertEquals(cell.state(0, 0), TargetState.ACTIVE);
        assertEquals(cell.weight(0, 0), 0.5, 0.1);
        assertTrue(cell.explained(Action.SLOWED));
    }

    @Test
    public void targetSlowerThanTheSlowFactorIsEjectedOnceItStaysSlow() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.slowRounds(10, 250);
        assertEquals(cell.state(0, 0), TargetState.ACTIVE);
        assertTrue(cell.weight(0, 0) < 0.5);
        cell.slowRounds(20, 250);
        assertEquals(cell.state(0, 0), TargetState.EJECTED);
    }

    @Test
    public void targetThatPausesForMomentStays() {
        // A target's garbage collector stops it for half a second. To take it out for that would
        // cost its capacity for many times as long.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.slowRounds(4, 500);
        cell.rounds(40, TargetHealthTest::allWell);
        assertFalse(cell.explained(Action.EJECTED));
    }

    @Test
    public void failuresAreToldAtOnceAndGoodWorkIsNot() {
        CellFixture cell = new CellFixture(1, 10);
        cell.vm(0).onOutcome(endpoint(1), KIND, Outcome.SUCCESS, 50, cell.mNowMillis);
        assertTrue(cell.vm(0).takeUrgentReport(cell.mNowMillis).isEmpty());
        cell.vm(0).onOutcome(endpoint(2), KIND, Outcome.SUCCESS, 50, cell.mNowMillis);
        long laterMillis = cell.mNowMillis + 200;
        cell.vm(0).onOutcome(endpoint(2), KIND, Outcome.FAILURE, 50, laterMillis);
        EvidenceReport urgent = cell.vm(0).takeUrgentReport(laterMillis).orElseThrow();
        assertEquals(urgent.evidence().size(), 2);
        assertEquals(urgent.evidence().get(1).failures(), 1);
        assertEquals(cell.vm(0).takeReport(cell.mNowMillis).evidence().size(), 1);
    }

    @Test
    public void allTargetsThatTurnSlowTogetherKeepTheirShare() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(40, TargetHealthTest::allWell);
        for (int round = 0; round < 40; round++) {
            cell.round(TargetHealthTest::allWell, (vm, target) -> 500L);
        }
        assertEquals(cell.vm(0).view().activeTargets(), 10);
        assertEquals(cell.weight(0, 0), 1.0);
    }

    @Test
    public void leavingTargetGetsNothingWhateverTheFloorAndTheLaggingReports() {
        // During a roll-out half of the targets drain. One's health report lags and still says
        // that it serves; it must get nothing new all the same.
        CellFixture cell = new CellFixture(1, 10);
        for (int target = 0; target < 8; target++) {
            cell.vm(0).onHealthReport(endpoint(target), HealthReport.DRAINING, cell.mNowMillis);
            assertEquals(cell.weight(0, target), 0.0);
        }
        cell.vm(0).onHealthReport(endpoint(0), HealthReport.SERVING, cell.mNowMillis + 5_000);
        cell.rounds(4, TargetHealthTest::allWell);
        assertEquals(cell.state(0, 0), TargetState.LEAVING);
        assertEquals(cell.vm(0).view().activeTargets(), 2);
    }

    @Test
    public void targetThatWasRestartedComesBackSlowly() {
        CellFixture cell = new CellFixture(1, 10);
        cell.vm(0).onHealthReport(endpoint(0), HealthReport.LEAVING, cell.mNowMillis);
        cell.rounds(140, TargetHealthTest::allWell);
        cell.vm(0).onHealthReport(endpoint(0), HealthReport.SERVING, cell.mNowMillis);
        assertEquals(cell.state(0, 0), TargetState.RETURNING);
        assertEquals(cell.weight(0, 0), 0.1, 0.01);
    }

    @Test
    public void returningTargetCarriesGuardedWorkOnlyOnceItHasProvedItself() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.rounds(4, TargetHealthTest::firstFails);
        cell.roundsUntil(TargetState.RETURNING, TargetHealthTest::allWell);
        assertFalse(cell.vm(0).view().acceptsAtMostOnce(endpoint(0)));
        cell.rounds(3, TargetHealthTest::allWell);
        assertTrue(cell.vm(0).view().acceptsAtMostOnce(endpoint(0)));
        cell.rounds(25, TargetHealthTest::allWell);
        assertEquals(cell.state(0, 0), TargetState.ACTIVE);
        assertTrue(cell.explained(Action.RESTORED));
    }

    @Test
    public void flappingTargetStaysOutLongerEachTime() {
        // A target fails, is taken out, recovers, comes back and fails again. Each round trip costs
        // requests, so the fleet waits twice as long before the next one.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.roundsUntil(TargetState.EJECTED, TargetHealthTest::firstFails);
        int first = cell.roundsUntil(TargetState.RETURNING, TargetHealthTest::allWell);
        cell.roundsUntil(TargetState.EJECTED, TargetHealthTest::firstFails);
        int second = cell.roundsUntil(TargetState.RETURNING, TargetHealthTest::allWell);
        assertEquals(second, 2 * first);
    }

    @Test
    public void failedProbeDelaysTheReturn() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.rounds(4, TargetHealthTest::firstFails);
        cell.rounds(30, TargetHealthTest::allWell);
        cell.vm(0).onProbe(endpoint(0), false, cell.mNowMillis);
        cell.rounds(20, TargetHealthTest::allWell);
        assertEquals(cell.state(0, 0), TargetState.EJECTED);
        assertEquals(cell.state(1, 0), TargetState.RETURNING);
    }

    @Test
    public void failuresOfTargetThatIsStartingDoNotCount() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allWell);
        cell.mVms.forEach(vm -> vm.onHealthReport(endpoint(0), HealthReport.COLD, cell.mNowMillis));
        cell.rounds(20, TargetHealthTest::firstFails);
        assertEquals(cell.state(0, 0), TargetState.COLD);
        assertEquals(cell.weight(0, 0), 0.1);
    }

    @Test
    public void targetThatClaimsToStartForeverIsJudgedInTheEnd() {
        CellFixture cell = new CellFixture(6, 10);
        for (int round = 0; round < 300; round++) {
            cell.mVms.forEach(
                    vm -> vm.onHealthReport(endpoint(0), HealthReport.COLD, cell.mNowMillis));
            cell.round(TargetHealthTest::firstFails);
        }
        assertEquals(cell.state(0, 0), TargetState.EJECTED);
    }

    @Test
    public void reportThatArrivesTwiceCountsOnce() {
        CellFixture cell = new CellFixture(2, 10);
        cell.vm(1).onOutcome(endpoint(0), KIND, Outcome.FAILURE, 5, cell.mNowMillis);
        EvidenceReport report = cell.vm(1).takeReport(cell.mNowMillis);
        for (int copy = 0; copy < 100; copy++) {
            cell.vm(0).onPeerEvidence(report, cell.mNowMillis);
        }
        cell.rounds(3, TargetHealthTest::allWell);
        assertEquals(cell.state(0, 0), TargetState.ACTIVE);
    }

    @Test
    public void reportHoldsOnlyWhatIsNew() {
        CellFixture cell = new CellFixture(1, 10);
        cell.vm(0).onOutcome(endpoint(3), KIND, Outcome.SUCCESS, 50, cell.mNowMillis);
        cell.vm(0).onOutcome(endpoint(3), KIND, Outcome.TIMEOUT, 900, cell.mNowMillis + 200);
        EvidenceReport report = cell.vm(0).takeReport(cell.mNowMillis);
        assertEquals(report.evidence().size(), 2);
        assertEquals(report.evidence().get(0).successes(), 1);
        assertEquals(report.evidence().get(0).failures(), 0);
        assertEquals(report.evidence().get(1).successes(), 0);
        assertEquals(report.evidence().get(1).failures(), 1);
        assertTrue(cell.vm(0).takeReport(cell.mNowMillis).evidence().isEmpty());
    }

    @Test
    public void revisionDropsAndAddsTargets() {
        CellFixture cell = new CellFixture(1, 10);
        cell.vm(0).update(CellFixture.template(9), cell.mNowMillis);
        assertEquals(cell.weight(0, 9), 0.0);
        cell.vm(0).update(CellFixture.template(10), cell.mNowMillis);
        assertEquals(cell.state(0, 9), TargetState.RETURNING);
    }

    private static Outcome allWell(int vm, int target) {
        return Outcome.SUCCESS;
    }

    private static Outcome firstFails(int vm, int target) {
        return target == 0 ? Outcome.FAILURE : Outcome.SUCCESS;
    }
}
