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
        assertEquals(mEvidence.takeReport(0), List.of(work(1, 1, OptionalLong.empty())));
        end("first", 0, Outcome.SUCCESS, 200);
        assertEquals(mEvidence.takeReport(200), List.of(work(0, 1, OptionalLong.of(0))));
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

    @Test
    public void silenceInAReportGrowsWithItsAge() {
        begin("first", 0);
        double early = mEvidence.takeReport(100).get(0).silence();
        double unusual = mEvidence.takeReport(2_200).get(0).silence();
        assertTrue(early < 1.1, "early: " + early);
        assertEquals(unusual, 11, 0.01);
    }

    @Test
    public void failureIsNoProof() {
        begin("first", 0);
        end("first", 0, Outcome.CUT_SHORT, 200);
        assertEquals(mEvidence.risk().provenMillis(TARGET), OptionalLong.empty());
        assertFalse(mEvidence.trust().isProven(TARGET, 200));
    }

    /** A hedge that came first says nothing against a target whose answer was not late yet. */
    @Test
    public void cancelledWorkSpeaksAgainstATargetOnlyIfItWasLate() {
        begin("early", 0);
        end("early", 0, Outcome.CANCELLED, 10);
        assertTrue(mEvidence.trust().isProven(TARGET, 10));
        begin("late", 0);
        end("late", 0, Outcome.CANCELLED, 60_000);
        assertFalse(mEvidence.trust().isProven(TARGET, 60_000));
    }

    @Test
    public void targetThatLeftIsNotReported() {
        begin("first", 0);
        end("first", 0, Outcome.SUCCESS, 100);
        mEvidence.retain(Set.of());
        assertEquals(mEvidence.takeReport(100), List.of());
    }

    private void begin(String name, long now) {
        mSlots.onStarted(TARGET, false);
        mEvidence.onStarted(Kinds.LOOKUP, TARGET, name, now);
    }

    private void end(String name, long started, Outcome outcome, long now) {
        mSlots.onEnded(TARGET, false);
        mEvidence.onEnded(Kinds.LOOKUP, TARGET, name, started, outcome, now);
    }

    private static TargetWork work(int inFlight, double silence, OptionalLong proven) {
        return new TargetWork(TARGET, inFlight, silence, proven);
    }
}
