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
    public void targetThatFailsForAllVmsIsEjectedByAllVms() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.rounds(4, TargetHealthTest::firstTargetFails);
        for (int vm = 0; vm < 6; vm++) {
            assertEquals(cell.state(vm, 0), TargetState.EJECTED);
            assertEquals(cell.vm(vm).view().activeTargets(), 9);
        }
        assertTrue(cell.hasExplanation(Action.EJECTED));
    }

    @Test
    public void healthyTargetStaysActive() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(100, TargetHealthTest::allSucceed);
        assertEquals(cell.vm(0).view().activeTargets(), 10);
        assertEquals(cell.weight(0, 0), 1.0);
    }

    @Test
    public void targetUnreachableFromOneVmIsAvoidedOnlyThere() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.rounds(
                8,
                (vm, target) -> vm == 2 && target == 0 ? Outcome.CONNECT_FAILED : Outcome.SUCCESS);
        assertEquals(cell.state(2, 0), TargetState.AVOIDED_HERE);
        assertEquals(cell.state(1, 0), TargetState.ACTIVE);
        assertEquals(cell.state(5, 0), TargetState.ACTIVE);
    }

    @Test
    public void targetUnreachableFromOneZoneIsNotEjected() {
        // Two VMs of a zone share the failed network path; the other zones reach the target.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.rounds(
                30, (vm, target) -> vm % 3 == 0 && target == 0 ? Outcome.TIMEOUT : Outcome.SUCCESS);
        assertFalse(cell.hasExplanation(Action.EJECTED));
        assertEquals(cell.state(1, 0), TargetState.ACTIVE);
    }

    @Test
    public void vmWithoutPeerReportsEjectsOnLocalEvidence() {
        CellFixture cell = new CellFixture(1, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.rounds(12, TargetHealthTest::firstTargetFails);
        assertEquals(cell.state(0, 0), TargetState.EJECTED);
    }

    @Test
    public void successfulProbesDoNotClearATargetThatFailsRequests() {
        // Guards against gray failures: the probe handler works while requests fail.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        for (int round = 0; round < 4; round++) {
            for (int probe = 0; probe < 20; probe++) {
                cell.vm(0).onProbe(endpoint(0), true, cell.mNowMillis);
                cell.vm(0).onHealthReport(endpoint(0), HealthReport.SERVING, cell.mNowMillis);
            }
            cell.round(TargetHealthTest::firstTargetFails);
        }
        assertEquals(cell.state(0, 0), TargetState.EJECTED);
    }

    @Test
    public void unhealthyReportDoesNotOverrideSuccessfulRequests() {
        CellFixture cell = new CellFixture(6, 10);
        for (int round = 0; round < 40; round++) {
            cell.vm(0).onHealthReport(endpoint(0), HealthReport.UNHEALTHY, cell.mNowMillis);
            cell.vm(0).onLoadReport(endpoint(0), 1.0);
            cell.round(TargetHealthTest::allSucceed);
        }
        assertEquals(cell.state(0, 0), TargetState.ACTIVE);
        assertEquals(cell.weight(0, 0), 1.0);
    }

    @Test
    public void targetsThatAllFailAlikeAreNotEjected() {
        // Guards against ejections during the outage of a dependency that all targets share.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(40, TargetHealthTest::allSucceed);
        cell.rounds(40, (vm, target) -> Outcome.FAILURE);
        assertEquals(cell.vm(0).view().activeTargets(), 10);
        assertFalse(cell.hasExplanation(Action.EJECTED));
    }

    @Test
    public void rejectionsAndCancellationsAreNoEvidence() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
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
    public void floorHoldsFailingTargetsIfTooFewOthersAreHealthy() {
        // The four healthy targets are fewer than the floor of six.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.rounds(20, (vm, target) -> target < 6 ? Outcome.FAILURE : Outcome.SUCCESS);
        assertEquals(cell.vm(0).view().activeTargets(), 10);
        assertTrue(cell.hasExplanation(Action.FLOOR_HELD));
    }

    @Test
    public void stragglerWeightIsReducedBeforeEjection() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        BiFunction<Integer, Integer, Long> twiceAsSlow = (vm, target) -> target == 0 ? 100L : 50L;
        for (int round = 0; round < 40; round++) {
            cell.round(TargetHealthTest::allSucceed, twiceAsSlow);
        }
        assertEquals(cell.state(0, 0), TargetState.ACTIVE);
        assertEquals(cell.weight(0, 0), 0.5, 0.1);
        assertTrue(cell.hasExplanation(Action.SLOWED));
    }

    @Test
    public void targetAboveTheSlowFactorIsEjectedOnceItStaysSlow() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.slowRounds(10, 250);
        assertEquals(cell.state(0, 0), TargetState.ACTIVE);
        assertTrue(cell.weight(0, 0) < 0.5);
        cell.slowRounds(20, 250);
        assertEquals(cell.state(0, 0), TargetState.EJECTED);
    }

    @Test
    public void targetWithABriefPauseIsNotEjected() {
        // Guards against ejections because of garbage collection pauses.
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.slowRounds(4, 500);
        cell.rounds(40, TargetHealthTest::allSucceed);
        assertFalse(cell.hasExplanation(Action.EJECTED));
    }

    @Test
    public void urgentReportContainsOnlyTargetsWithFailures() {
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
    public void targetsThatAllBecomeSlowKeepTheirWeight() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(40, TargetHealthTest::allSucceed);
        for (int round = 0; round < 40; round++) {
            cell.round(TargetHealthTest::allSucceed, (vm, target) -> 500L);
        }
        assertEquals(cell.vm(0).view().activeTargets(), 10);
        assertEquals(cell.weight(0, 0), 1.0);
    }

    @Test
    public void leavingTargetReceivesNoRequestsDespiteFloorAndDelayedReports() {
        // Guards against requests to draining targets during a rollout.
        CellFixture cell = new CellFixture(1, 10);
        for (int target = 0; target < 8; target++) {
            cell.vm(0).onHealthReport(endpoint(target), HealthReport.DRAINING, cell.mNowMillis);
            assertEquals(cell.weight(0, target), 0.0);
        }
        cell.vm(0).onHealthReport(endpoint(0), HealthReport.SERVING, cell.mNowMillis + 5_000);
        cell.rounds(4, TargetHealthTest::allSucceed);
        assertEquals(cell.state(0, 0), TargetState.LEAVING);
        assertEquals(cell.vm(0).view().activeTargets(), 2);
    }

    @Test
    public void restartedTargetReturnsWithSlowStart() {
        CellFixture cell = new CellFixture(1, 10);
        cell.vm(0).onHealthReport(endpoint(0), HealthReport.LEAVING, cell.mNowMillis);
        cell.rounds(140, TargetHealthTest::allSucceed);
        cell.vm(0).onHealthReport(endpoint(0), HealthReport.SERVING, cell.mNowMillis);
        assertEquals(cell.state(0, 0), TargetState.RETURNING);
        assertEquals(cell.weight(0, 0), 0.1, 0.01);
    }

    @Test
    public void returningTargetAcceptsAtMostOnceRequestsAfterEnoughSuccesses() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.rounds(4, TargetHealthTest::firstTargetFails);
        cell.roundsUntil(TargetState.RETURNING, TargetHealthTest::allSucceed);
        assertFalse(cell.vm(0).view().acceptsAtMostOnce(endpoint(0)));
        cell.rounds(3, TargetHealthTest::allSucceed);
        assertTrue(cell.vm(0).view().acceptsAtMostOnce(endpoint(0)));
        cell.rounds(25, TargetHealthTest::allSucceed);
        assertEquals(cell.state(0, 0), TargetState.ACTIVE);
        assertTrue(cell.hasExplanation(Action.RESTORED));
    }

    @Test
    public void exclusionTimeDoublesForFlappingTarget() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.roundsUntil(TargetState.EJECTED, TargetHealthTest::firstTargetFails);
        int first = cell.roundsUntil(TargetState.RETURNING, TargetHealthTest::allSucceed);
        cell.roundsUntil(TargetState.EJECTED, TargetHealthTest::firstTargetFails);
        int second = cell.roundsUntil(TargetState.RETURNING, TargetHealthTest::allSucceed);
        assertEquals(second, 2 * first);
    }

    @Test
    public void failedProbeDelaysReturnToService() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.rounds(4, TargetHealthTest::firstTargetFails);
        cell.rounds(30, TargetHealthTest::allSucceed);
        cell.vm(0).onProbe(endpoint(0), false, cell.mNowMillis);
        cell.rounds(20, TargetHealthTest::allSucceed);
        assertEquals(cell.state(0, 0), TargetState.EJECTED);
        assertEquals(cell.state(1, 0), TargetState.RETURNING);
    }

    @Test
    public void failuresDuringColdStartAreIgnored() {
        CellFixture cell = new CellFixture(6, 10);
        cell.rounds(20, TargetHealthTest::allSucceed);
        cell.mVms.forEach(vm -> vm.onHealthReport(endpoint(0), HealthReport.COLD, cell.mNowMillis));
        cell.rounds(20, TargetHealthTest::firstTargetFails);
        assertEquals(cell.state(0, 0), TargetState.COLD);
        assertEquals(cell.weight(0, 0), 0.1);
    }

    @Test
    public void targetThatReportsColdStartForeverIsEjected() {
        CellFixture cell = new CellFixture(6, 10);
        for (int round = 0; round < 300; round++) {
            cell.mVms.forEach(
                    vm -> vm.onHealthReport(endpoint(0), HealthReport.COLD, cell.mNowMillis));
            cell.round(TargetHealthTest::firstTargetFails);
        }
        assertEquals(cell.state(0, 0), TargetState.EJECTED);
    }

    @Test
    public void duplicateReportsCountOnce() {
        CellFixture cell = new CellFixture(2, 10);
        cell.vm(1).onOutcome(endpoint(0), KIND, Outcome.FAILURE, 5, cell.mNowMillis);
        EvidenceReport report = cell.vm(1).takeReport(cell.mNowMillis);
        for (int copy = 0; copy < 100; copy++) {
            cell.vm(0).onPeerEvidence(report, cell.mNowMillis);
        }
        cell.rounds(3, TargetHealthTest::allSucceed);
        assertEquals(cell.state(0, 0), TargetState.ACTIVE);
    }

    @Test
    public void reportContainsOnlyUnreportedEvidence() {
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
    public void templateRevisionRemovesAndAddsTargets() {
        CellFixture cell = new CellFixture(1, 10);
        cell.vm(0).update(CellFixture.template(9), cell.mNowMillis);
        assertEquals(cell.weight(0, 9), 0.0);
        cell.vm(0).update(CellFixture.template(10), cell.mNowMillis);
        assertEquals(cell.state(0, 9), TargetState.RETURNING);
    }

    private static Outcome allSucceed(int vm, int target) {
        return Outcome.SUCCESS;
    }

    private static Outcome firstTargetFails(int vm, int target) {
        return target == 0 ? Outcome.FAILURE : Outcome.SUCCESS;
    }
}
