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
    private static final double CLOSE = 1e-9;

    private SlotTable mSlots;
    private PassiveFailureDetector mEvidence;

    @BeforeMethod
    public void start() {
        mSlots = new SlotTable(3, 1_000);
        mEvidence = new PassiveFailureDetector(new ServiceTimeEstimator(), mSlots);
    }

    @Test
    public void reportNamesWorkInFlightAndNewProofsOnce() {
        begin("first", 0);
        TargetReport inFlight = mEvidence.drainReport(0).get(0);
        assertEquals(inFlight.inFlight(), 1);
        assertEquals(inFlight.lastAnsweredMillis(), OptionalLong.empty());
        end("first", 0, Outcome.SUCCESS, 200);
        assertEquals(
                mEvidence.drainReport(200),
                List.of(new TargetReport(TARGET, 0, 1, OptionalLong.of(0))));
        assertEquals(mEvidence.drainReport(300), List.of());
    }

    /** The other VMs would take the slot for used until the report fades. */
    @Test
    public void reportTellsOnceThatNothingIsInFlightAnyMore() {
        begin("first", 0);
        mEvidence.drainReport(0);
        end("first", 0, Outcome.CUT_SHORT, 200);
        assertEquals(mEvidence.drainReport(200).get(0).inFlight(), 0);
        assertEquals(mEvidence.drainReport(300), List.of());
    }

    /**
     * A caller's lock would end without an answer. A target begins to hang: it takes work and sends
     * nothing, while its health report is good. The doubt grows with the silence, long before the
     * work is overdue, and it is told to the other VMs with the report.
     */
    @Test
    public void silenceSpeaksAgainstTheTargetAndIsReported() {
        begin("proof", 0);
        end("proof", 0, Outcome.SUCCESS, 100);
        double before = mEvidence.failingProbability(TARGET, 300);
        begin("first", 100);
        double early = mEvidence.drainReport(150).get(0).silenceRatio();
        double unusual = mEvidence.drainReport(2_300).get(0).silenceRatio();
        assertTrue(early < 1.1, "early: " + early);
        assertTrue(unusual > 3, "unusual: " + unusual);
        assertTrue(mEvidence.failingProbability(TARGET, 2_300) > 3 * before);
    }

    /**
     * Each VM would lose a lock of its own. A target hangs with a request of another VM; that VM
     * reports the silence, and this one stays away before anything of its own is lost.
     */
    @Test
    public void silenceAtAnotherVmCountsWhileItIsReported() {
        mEvidence.onPeerReport("vm-2", List.of(proof(1_000)), 1_000);
        double before = mEvidence.failingProbability(TARGET, 1_300);
        mEvidence.onPeerReport("vm-2", List.of(silent(11)), 1_300);
        assertTrue(mEvidence.failingProbability(TARGET, 1_300) > 5 * before);
        mEvidence.onPeerReport(
                "vm-2", List.of(new TargetReport(TARGET, 0, 1, OptionalLong.empty())), 1_300);
        assertEquals(mEvidence.failingProbability(TARGET, 1_300), before, CLOSE);
    }

    /** A VM that lost power must not speak against a target for ever. */
    @Test
    public void reportOfAVmThatFellSilentIsForgotten() {
        mEvidence.onPeerReport("vm-2", List.of(silent(11)), 1_300);
        mEvidence.onPeerReport("vm-3", List.of(proof(3_000)), 3_000);
        assertTrue(mEvidence.failingProbability(TARGET, 3_000) < 0.1);
    }

    /**
     * Locks would go on failing at the other VMs for the whole timeout of the first one. Work that
     * is overdue by as long again is taken for lost, and the other VMs are told, once.
     */
    @Test
    public void workThatIsLostIsToldBeforeItsTimeout() {
        begin("work", 0);
        mEvidence.expireOverdue(4_399);
        assertEquals(mEvidence.drainObservations(), List.of());
        mEvidence.expireOverdue(4_400);
        assertEquals(
                mEvidence.drainObservations(),
                List.of(new TargetObservation(TARGET, Observation.SILENT, 0)));
        mEvidence.expireOverdue(4_500);
        end("work", 0, Outcome.TIMEOUT, 10_000);
        assertEquals(mEvidence.drainObservations(), List.of());
    }

    @Test
    public void failureOfAnotherVmSpeaksAgainstTheTargetUntilItAnswers() {
        double before = mEvidence.failingProbability(TARGET, 100);
        mEvidence.onPeerObservation(new TargetObservation(TARGET, Observation.ERROR, 100));
        assertTrue(mEvidence.failingProbability(TARGET, 100) > 3 * before);
        mEvidence.onPeerObservation(new TargetObservation(TARGET, Observation.ANSWERED, 110));
        mEvidence.onPeerObservation(new TargetObservation(TARGET, Observation.ANSWERED, 120));
        mEvidence.onPeerObservation(new TargetObservation(TARGET, Observation.ANSWERED, 130));
        assertTrue(mEvidence.failingProbability(TARGET, 130) < 0.5);
    }

    /**
     * A VM would send lock after lock into a cut between itself and one target. All other VMs get
     * answers there, and their news speaks for the target; only the own path is to blame.
     */
    @Test
    public void ownLossesStayWhateverOthersSay() {
        for (int number = 0; number < 3; number++) {
            long now = number * 5_000L;
            mEvidence.onPeerReport("vm-2", List.of(proof(now)), now);
            begin("lost-" + number, now);
            end("lost-" + number, now, Outcome.TIMEOUT, now + 1_000);
            mEvidence.onPeerReport("vm-2", List.of(proof(now + 1_000)), now + 1_000);
        }
        assertTrue(mEvidence.failingProbability(TARGET, 11_100) < 0.2, "the target is sound");
        assertTrue(mEvidence.partitionProbability(TARGET, 11_100) > 0.5, "the path is not");
        assertTrue(mEvidence.lossProbability(TARGET, 11_100) > 0.5);
    }

    /** The paths of one VM fail: the others must not take all its targets for failing. */
    @Test
    public void lossOfAnotherVmCountsLessThanAnErrorThatTheTargetAnswered() {
        mEvidence.onPeerObservation(new TargetObservation(TARGET, Observation.SILENT, 100));
        double silent = mEvidence.failingProbability(TARGET, 100);
        mEvidence.forget(Set.of(TARGET));
        mEvidence.onPeerObservation(new TargetObservation(TARGET, Observation.ERROR, 100));
        assertTrue(silent < mEvidence.failingProbability(TARGET, 100));
    }

    @Test
    public void fullTargetRestsForAMoment() {
        begin("first", 0);
        end("first", 0, Outcome.REFUSED_SHED, 10);
        assertTrue(mEvidence.isCoolingDown(TARGET, 100));
        assertFalse(mEvidence.isCoolingDown(TARGET, 300));
        assertEquals(mEvidence.drainObservations(), List.of());
    }

    /** A hedge that came first says nothing against a target whose answer was not late yet. */
    @Test
    public void cancelledWorkSpeaksAgainstATargetOnlyIfItWasLate() {
        begin("early", 0);
        end("early", 0, Outcome.CANCELLED, 10);
        double unknown = mEvidence.failingShare();
        assertEquals(mEvidence.failingProbability(TARGET, 10), unknown, CLOSE);
        begin("late", 10);
        end("late", 10, Outcome.CANCELLED, 60_000);
        assertTrue(mEvidence.failingProbability(TARGET, 10) > unknown);
    }

    @Test
    public void targetThatLeftOrStartedAgainIsNotReported() {
        begin("first", 0);
        end("first", 0, Outcome.SUCCESS, 100);
        mEvidence.retain(Set.of());
        assertEquals(mEvidence.drainReport(100), List.of());
        begin("second", 200);
        end("second", 200, Outcome.SUCCESS, 300);
        mEvidence.forget(Set.of(TARGET));
        assertEquals(mEvidence.drainReport(300), List.of());
    }

    private void begin(String name, long now) {
        mSlots.acquire(TARGET, false);
        mEvidence.onStarted(Kinds.LOOKUP, TARGET, name, now);
    }

    private void end(String name, long started, Outcome outcome, long now) {
        mSlots.release(TARGET, false);
        mEvidence.onEnded(Kinds.LOOKUP, TARGET, name, started, outcome, now);
    }

    private static TargetReport proof(long sentMillis) {
        return new TargetReport(TARGET, 0, 1, OptionalLong.of(sentMillis));
    }

    private static TargetReport silent(double silence) {
        return new TargetReport(TARGET, 1, silence, OptionalLong.empty());
    }
}
