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

/** Tests of {@link WorkEvidence}. */
public final class WorkEvidenceTest {
    private static final Endpoint TARGET = Kinds.endpoint(0);
    private static final double CLOSE = 1e-9;

    private SlotTable mSlots;
    private WorkEvidence mEvidence;

    @BeforeMethod
    public void start() {
        mSlots = new SlotTable(3, 1_000);
        mEvidence = new WorkEvidence(new ServiceTimes(), mSlots);
    }

    @Test
    public void reportNamesWorkInFlightAndNewProofsOnce() {
        begin("first", 0);
        TargetWork inFlight = mEvidence.takeReport(0).get(0);
        assertEquals(inFlight.inFlight(), 1);
        assertEquals(inFlight.provenMillis(), OptionalLong.empty());
        end("first", 0, Outcome.SUCCESS, 200);
        assertEquals(
                mEvidence.takeReport(200),
                List.of(new TargetWork(TARGET, 0, 1, OptionalLong.of(0))));
        assertEquals(mEvidence.takeReport(300), List.of());
    }

    /** The other VMs would take the slot for used until the report fades. */
    @Test
    public void reportTellsOnceThatNothingIsInFlightAnyMore() {
        begin("first", 0);
        mEvidence.takeReport(0);
        end("first", 0, Outcome.CUT_SHORT, 200);
        assertEquals(mEvidence.takeReport(200).get(0).inFlight(), 0);
        assertEquals(mEvidence.takeReport(300), List.of());
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
        double before = mEvidence.chanceOfBout(TARGET, 300);
        begin("first", 100);
        double early = mEvidence.takeReport(150).get(0).silence();
        double unusual = mEvidence.takeReport(2_300).get(0).silence();
        assertTrue(early < 1.1, "early: " + early);
        assertTrue(unusual > 3, "unusual: " + unusual);
        assertTrue(mEvidence.chanceOfBout(TARGET, 2_300) > 3 * before);
    }

    /**
     * Each VM would lose a lock of its own. A target hangs with a request of another VM; that VM
     * reports the silence, and this one stays away before anything of its own is lost.
     */
    @Test
    public void silenceAtAnotherVmCountsWhileItIsReported() {
        mEvidence.onPeerReport("vm-2", List.of(proof(1_000)), 1_000);
        double before = mEvidence.chanceOfBout(TARGET, 1_300);
        mEvidence.onPeerReport("vm-2", List.of(silent(11)), 1_300);
        assertTrue(mEvidence.chanceOfBout(TARGET, 1_300) > 5 * before);
        mEvidence.onPeerReport(
                "vm-2", List.of(new TargetWork(TARGET, 0, 1, OptionalLong.empty())), 1_300);
        assertEquals(mEvidence.chanceOfBout(TARGET, 1_300), before, CLOSE);
    }

    /** A VM that lost power must not speak against a target for ever. */
    @Test
    public void reportOfAVmThatFellSilentIsForgotten() {
        mEvidence.onPeerReport("vm-2", List.of(silent(11)), 1_300);
        mEvidence.onPeerReport("vm-3", List.of(proof(3_000)), 3_000);
        assertTrue(mEvidence.chanceOfBout(TARGET, 3_000) < 0.1);
    }

    /**
     * Locks would go on failing at the other VMs for the whole timeout of the first one. Work that
     * is overdue by as long again is taken for lost, and the other VMs are told, once.
     */
    @Test
    public void workThatIsLostIsToldBeforeItsTimeout() {
        begin("work", 0);
        mEvidence.giveUpOnLost(4_399);
        assertEquals(mEvidence.takeNews(), List.of());
        mEvidence.giveUpOnLost(4_400);
        assertEquals(mEvidence.takeNews(), List.of(new WorkNews(TARGET, WorkSign.SILENT, 0)));
        mEvidence.giveUpOnLost(4_500);
        end("work", 0, Outcome.TIMEOUT, 10_000);
        assertEquals(mEvidence.takeNews(), List.of());
    }

    @Test
    public void failureOfAnotherVmSpeaksAgainstTheTargetUntilItAnswers() {
        double before = mEvidence.chanceOfBout(TARGET, 100);
        mEvidence.onPeerNews(new WorkNews(TARGET, WorkSign.ERROR, 100));
        assertTrue(mEvidence.chanceOfBout(TARGET, 100) > 3 * before);
        mEvidence.onPeerNews(new WorkNews(TARGET, WorkSign.ANSWERED, 110));
        mEvidence.onPeerNews(new WorkNews(TARGET, WorkSign.ANSWERED, 120));
        mEvidence.onPeerNews(new WorkNews(TARGET, WorkSign.ANSWERED, 130));
        assertTrue(mEvidence.chanceOfBout(TARGET, 130) < 0.5);
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
        assertTrue(mEvidence.chanceOfBout(TARGET, 11_100) < 0.2, "the target is sound");
        assertTrue(mEvidence.chanceOfCut(TARGET, 11_100) > 0.5, "the path is not");
        assertTrue(mEvidence.chanceOfLoss(TARGET, 11_100) > 0.5);
    }

    /** The paths of one VM fail: the others must not take all its targets for failing. */
    @Test
    public void lossOfAnotherVmCountsLessThanAnErrorThatTheTargetAnswered() {
        mEvidence.onPeerNews(new WorkNews(TARGET, WorkSign.SILENT, 100));
        double silent = mEvidence.chanceOfBout(TARGET, 100);
        mEvidence.forget(Set.of(TARGET));
        mEvidence.onPeerNews(new WorkNews(TARGET, WorkSign.ERROR, 100));
        assertTrue(silent < mEvidence.chanceOfBout(TARGET, 100));
    }

    @Test
    public void fullTargetRestsForAMoment() {
        begin("first", 0);
        end("first", 0, Outcome.REFUSED_SHED, 10);
        assertTrue(mEvidence.isResting(TARGET, 100));
        assertFalse(mEvidence.isResting(TARGET, 300));
        assertEquals(mEvidence.takeNews(), List.of());
    }

    /** A hedge that came first says nothing against a target whose answer was not late yet. */
    @Test
    public void cancelledWorkSpeaksAgainstATargetOnlyIfItWasLate() {
        begin("early", 0);
        end("early", 0, Outcome.CANCELLED, 10);
        double unknown = mEvidence.shareInBout();
        assertEquals(mEvidence.chanceOfBout(TARGET, 10), unknown, CLOSE);
        begin("late", 10);
        end("late", 10, Outcome.CANCELLED, 60_000);
        assertTrue(mEvidence.chanceOfBout(TARGET, 10) > unknown);
    }

    @Test
    public void targetThatLeftOrStartedAgainIsNotReported() {
        begin("first", 0);
        end("first", 0, Outcome.SUCCESS, 100);
        mEvidence.retain(Set.of());
        assertEquals(mEvidence.takeReport(100), List.of());
        begin("second", 200);
        end("second", 200, Outcome.SUCCESS, 300);
        mEvidence.forget(Set.of(TARGET));
        assertEquals(mEvidence.takeReport(300), List.of());
    }

    private void begin(String name, long now) {
        mSlots.onStarted(TARGET, false);
        mEvidence.onStarted(Kinds.LOOKUP, TARGET, name, now);
    }

    private void end(String name, long started, Outcome outcome, long now) {
        mSlots.onEnded(TARGET, false);
        mEvidence.onEnded(Kinds.LOOKUP, TARGET, name, started, outcome, now);
    }

    private static TargetWork proof(long sentMillis) {
        return new TargetWork(TARGET, 0, 1, OptionalLong.of(sentMillis));
    }

    private static TargetWork silent(double silence) {
        return new TargetWork(TARGET, 1, silence, OptionalLong.empty());
    }
}
