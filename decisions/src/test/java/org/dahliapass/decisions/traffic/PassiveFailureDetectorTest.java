package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link PassiveFailureDetector}. */
public final class PassiveFailureDetectorTest {
    private static final Endpoint TARGET = Kinds.endpoint(0);
    private static final double TOLERANCE = 1e-9;

    private SlotTable mSlots;
    private PassiveFailureDetector mDetector;

    @BeforeMethod
    public void start() {
        mSlots = new SlotTable(3, 1_000);
        mDetector = new PassiveFailureDetector(new ServiceTimeEstimator(), mSlots);
    }

    /** Guards against each VM sending requests to a target that turns those of others away. */
    @Test
    public void targetIsAvoidedWhileOtherVmsLetItRest() {
        mDetector.onPeerRest(TARGET, 3_000, 1_000);
        assertTrue(mDetector.isPeerResting(TARGET, 1_000));
        assertTrue(mDetector.isPeerResting(TARGET, 6_999));
        assertFalse(mDetector.isPeerResting(TARGET, 7_000));
    }

    /** Guards against a target that stays avoided although it takes requests again. */
    @Test
    public void laterResponseToAnyVmEndsTheRestOfOthers() {
        mDetector.onPeerRest(TARGET, 3_000, 1_000);
        mDetector.onPeerReport(
                "b", List.of(new TargetReport(TARGET, 0, 1, OptionalLong.of(900))), 1_100);
        assertTrue(mDetector.isPeerResting(TARGET, 1_100));
        mDetector.onPeerReport(
                "b", List.of(new TargetReport(TARGET, 0, 1, OptionalLong.of(1_200))), 1_300);
        assertFalse(mDetector.isPeerResting(TARGET, 1_300));
        mDetector.onPeerRest(TARGET, 3_000, 1_400);
        begin("first", 1_500);
        end("first", 1_500, Outcome.SUCCESS, 1_600);
        assertFalse(mDetector.isPeerResting(TARGET, 1_600));
    }

    @Test
    public void reportListsRequestsInFlightAndNewResponsesOnce() {
        begin("first", 0);
        TargetReport inFlight = mDetector.drainReport(0).get(0);
        assertEquals(inFlight.inFlight(), 1);
        assertEquals(inFlight.lastAnsweredMillis(), OptionalLong.empty());
        end("first", 0, Outcome.SUCCESS, 200);
        assertEquals(
                mDetector.drainReport(200),
                List.of(new TargetReport(TARGET, 0, 1, OptionalLong.of(0))));
        assertEquals(mDetector.drainReport(300), List.of());
    }

    /** Otherwise the other VMs count the slot as used until the report expires. */
    @Test
    public void reportListsOnceThatNothingIsInFlight() {
        begin("first", 0);
        mDetector.drainReport(0);
        end("first", 0, Outcome.CUT_SHORT, 200);
        assertEquals(mDetector.drainReport(200).get(0).inFlight(), 0);
        assertEquals(mDetector.drainReport(300), List.of());
    }

    /** A hanging target must be detected and reported before its requests are overdue. */
    @Test
    public void missingResponseCountsAgainstTheTargetAndIsReported() {
        begin("proof", 0);
        end("proof", 0, Outcome.SUCCESS, 100);
        double before = mDetector.failingProbability(TARGET, 300);
        begin("first", 100);
        double early = mDetector.drainReport(150).get(0).silenceRatio();
        double overdue = mDetector.drainReport(2_300).get(0).silenceRatio();
        assertTrue(early < 1.1, "early: " + early);
        assertTrue(overdue > 3, "overdue: " + overdue);
        assertTrue(mDetector.failingProbability(TARGET, 2_300) > 3 * before);
    }

    /** A VM must avoid a target that hangs for another VM before it loses a request of its own. */
    @Test
    public void missingResponseToAnotherVmCountsWhileReported() {
        mDetector.onPeerReport("vm-2", List.of(answeredReport(1_000)), 1_000);
        double before = mDetector.failingProbability(TARGET, 1_300);
        mDetector.onPeerReport("vm-2", List.of(silentReport(11)), 1_300);
        assertTrue(mDetector.failingProbability(TARGET, 1_300) > 5 * before);
        mDetector.onPeerReport(
                "vm-2", List.of(new TargetReport(TARGET, 0, 1, OptionalLong.empty())), 1_300);
        assertEquals(mDetector.failingProbability(TARGET, 1_300), before, TOLERANCE);
    }

    /** A VM that lost power must not count against a target forever. */
    @Test
    public void reportOfAnUnresponsiveVmExpires() {
        mDetector.onPeerReport("vm-2", List.of(silentReport(11)), 1_300);
        mDetector.onPeerReport("vm-3", List.of(answeredReport(3_000)), 3_000);
        assertTrue(mDetector.failingProbability(TARGET, 3_000) < 0.1);
    }

    /** Otherwise other VMs send requests to the target until the first timeout expires. */
    @Test
    public void lostAttemptIsReportedBeforeItsTimeout() {
        begin("work", 0);
        mDetector.expireOverdue(4_399);
        assertEquals(mDetector.drainObservations(), List.of());
        mDetector.expireOverdue(4_400);
        assertEquals(
                mDetector.drainObservations(),
                List.of(new TargetObservation(TARGET, Observation.SILENT, 0)));
        mDetector.expireOverdue(4_500);
        end("work", 0, Outcome.TIMEOUT, 10_000);
        assertEquals(mDetector.drainObservations(), List.of());
    }

    @Test
    public void failureReportedByAnotherVmCountsUntilResponses() {
        double before = mDetector.failingProbability(TARGET, 100);
        mDetector.onPeerObservation(new TargetObservation(TARGET, Observation.ERROR, 100));
        assertTrue(mDetector.failingProbability(TARGET, 100) > 3 * before);
        mDetector.onPeerObservation(new TargetObservation(TARGET, Observation.ANSWERED, 110));
        mDetector.onPeerObservation(new TargetObservation(TARGET, Observation.ANSWERED, 120));
        mDetector.onPeerObservation(new TargetObservation(TARGET, Observation.ANSWERED, 130));
        assertTrue(mDetector.failingProbability(TARGET, 130) < 0.5);
    }

    /** Other VMs report responses of the target, but the path of this VM is partitioned. */
    @Test
    public void partitionIsDetectedDespiteResponsesToOtherVms() {
        for (int number = 0; number < 3; number++) {
            long now = number * 5_000L;
            mDetector.onPeerReport("vm-2", List.of(answeredReport(now)), now);
            begin("lost-" + number, now);
            end("lost-" + number, now, Outcome.TIMEOUT, now + 1_000);
            mDetector.onPeerReport("vm-2", List.of(answeredReport(now + 1_000)), now + 1_000);
        }
        assertTrue(mDetector.failingProbability(TARGET, 11_100) < 0.2, "the target is healthy");
        assertTrue(mDetector.partitionProbability(TARGET, 11_100) > 0.5, "the path is partitioned");
        assertTrue(mDetector.lossProbability(TARGET, 11_100) > 0.5);
    }

    /** Failing paths of one VM must not make the others avoid healthy targets. */
    @Test
    public void missingResponseToAnotherVmCountsLessThanAnError() {
        mDetector.onPeerObservation(new TargetObservation(TARGET, Observation.SILENT, 100));
        double afterSilence = mDetector.failingProbability(TARGET, 100);
        mDetector.forget(Set.of(TARGET));
        mDetector.onPeerObservation(new TargetObservation(TARGET, Observation.ERROR, 100));
        assertTrue(afterSilence < mDetector.failingProbability(TARGET, 100));
    }

    @Test
    public void targetThatShedLoadCoolsDown() {
        begin("first", 0);
        end("first", 0, Outcome.REFUSED_SHED, 10);
        assertTrue(mDetector.isCoolingDown(TARGET, 100));
        assertFalse(mDetector.isCoolingDown(TARGET, 300));
        assertEquals(mDetector.drainObservations(), List.of());
    }

    /** A losing attempt that isn't overdue must not count against its target. */
    @Test
    public void cancelledAttemptCountsOnlyIfOverdue() {
        begin("early", 0);
        end("early", 0, Outcome.CANCELLED, 10);
        double initial = mDetector.failingShare();
        assertEquals(mDetector.failingProbability(TARGET, 10), initial, TOLERANCE);
        begin("late", 10);
        end("late", 10, Outcome.CANCELLED, 60_000);
        assertTrue(mDetector.failingProbability(TARGET, 10) > initial);
    }

    @Test
    public void removedOrRestartedTargetIsNotReported() {
        begin("first", 0);
        end("first", 0, Outcome.SUCCESS, 100);
        mDetector.retain(Set.of());
        assertEquals(mDetector.drainReport(100), List.of());
        begin("second", 200);
        end("second", 200, Outcome.SUCCESS, 300);
        mDetector.forget(Set.of(TARGET));
        assertEquals(mDetector.drainReport(300), List.of());
    }

    private void begin(String name, long now) {
        mSlots.acquire(TARGET, false);
        mDetector.onStarted(Kinds.LOOKUP, TARGET, name, now);
    }

    private void end(String name, long started, Outcome outcome, long now) {
        mSlots.release(TARGET, false);
        mDetector.onEnded(Kinds.LOOKUP, TARGET, name, started, outcome, now);
    }

    private static TargetReport answeredReport(long sentMillis) {
        return new TargetReport(TARGET, 0, 1, OptionalLong.of(sentMillis));
    }

    private static TargetReport silentReport(double silenceRatio) {
        return new TargetReport(TARGET, 1, silenceRatio, OptionalLong.empty());
    }
}
