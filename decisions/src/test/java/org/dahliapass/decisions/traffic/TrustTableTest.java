package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link TrustTable} and of the balancer's use of it. */
public final class TrustTableTest {
    private static final int TARGETS = 8;
    private static final Endpoint SICK = target(0);
    private static final int DRAWS = 200;

    private TrustTable mTrust;
    private Balancer mBalancer;

    @BeforeMethod
    public void start() {
        mTrust = new TrustTable();
        mBalancer =
                new Balancer(
                        "zone",
                        new SlotTable(3, 1_000),
                        1,
                        new SplittableRandom(1),
                        mTrust,
                        new HangRisk());
        mBalancer.onTargets(
                IntStream.range(0, TARGETS)
                        .mapToObj(number -> new WeightedTarget(target(number), "zone", 1, true))
                        .toList());
    }

    /**
     * A caller's lock would end without an answer. A target begins to hang: it takes work and sends
     * nothing, while its health report is good. The first request that went there is overdue long
     * before its timeout, and the next ones must go elsewhere from then on.
     */
    @Test
    public void overdueAnswerCostsTrustBeforeItFails() {
        mTrust.onStarted(SICK, "work", 600, 0);
        assertTrue(mTrust.isTrusted(SICK, 599));
        assertFalse(mTrust.isTrusted(SICK, 600));
        assertEquals(picksOf(Kinds.SIGN_OFF, 600), 0);
    }

    /**
     * Locks would go on failing at the other VMs for the whole timeout of the first one. Work that
     * is overdue by as long again is taken for lost, and the other VMs are told, once.
     */
    @Test
    public void workThatIsLostIsToldBeforeItsTimeout() {
        mTrust.onStarted(SICK, "work", 600, 0);
        mTrust.giveUpOnLost(1_199);
        assertEquals(mTrust.takeNews(), List.of());
        mTrust.giveUpOnLost(1_200);
        assertEquals(mTrust.takeNews(), List.of(new TrustChange(SICK, false)));
        mTrust.giveUpOnLost(1_300);
        mTrust.onEnded(SICK, "work");
        mTrust.onSetback(SICK, Setback.FAILED, 4_000);
        assertEquals(mTrust.takeNews(), List.of());
    }

    @Test
    public void doubtOfAnotherVmGoesWithItsWordOrWithOwnAnswers() {
        mTrust.onPeer(new TrustChange(SICK, false), 0);
        assertFalse(mTrust.isTrusted(SICK, 0));
        mTrust.onPeer(new TrustChange(SICK, true), 10);
        assertTrue(mTrust.isTrusted(SICK, 10));
        mTrust.onPeer(new TrustChange(SICK, false), 20);
        mTrust.onAnswered(SICK, 30);
        mTrust.onAnswered(SICK, 40);
        assertTrue(mTrust.isTrusted(SICK, 40));
    }

    /** This VM's own path to the target fails; that of the VM which trusts it doesn't. */
    @Test
    public void ownDoubtStaysWhateverOthersSay() {
        mTrust.onSetback(SICK, Setback.FAILED, 0);
        mTrust.onPeer(new TrustChange(SICK, true), 10);
        assertFalse(mTrust.isTrusted(SICK, 10));
    }

    @Test
    public void lateAnswerRestoresTrust() {
        mTrust.onStarted(SICK, "work", 600, 0);
        mTrust.onEnded(SICK, "work");
        mTrust.onAnswered(SICK, 700);
        assertTrue(mTrust.isTrusted(SICK, 700));
    }

    @Test
    public void failureCostsTrustUntilTwoAnswers() {
        mTrust.onSetback(SICK, Setback.FAILED, 0);
        mTrust.onAnswered(SICK, 100);
        assertFalse(mTrust.isTrusted(SICK, 100));
        mTrust.onAnswered(SICK, 200);
        assertTrue(mTrust.isTrusted(SICK, 200));
    }

    @Test
    public void singleErrorIsNoCauseButTwoAre() {
        mTrust.onSetback(SICK, Setback.ERROR, 0);
        assertTrue(mTrust.isTrusted(SICK, 0));
        mTrust.onSetback(SICK, Setback.ERROR, 2_000);
        assertFalse(mTrust.isTrusted(SICK, 2_000));
    }

    @Test
    public void fullTargetRestsForAMoment() {
        mTrust.onSetback(SICK, Setback.FULL, 0);
        assertFalse(mTrust.isTrusted(SICK, 100));
        assertTrue(mTrust.isTrusted(SICK, 300));
    }

    /**
     * Locks would go on failing, a few a second. A target that hangs three quarters of its work
     * must be tried again to find out when it is well; only requests that may repeat are sent to
     * find out, and one at a time.
     */
    @Test
    public void onlyRequestsThatMayRepeatTryATargetWithoutTrust() {
        mTrust.onSetback(SICK, Setback.FAILED, 0);
        assertEquals(picksOf(Kinds.SIGN_OFF, 3_000), 0);
        assertEquals(mBalancer.pick(Kinds.LOOKUP, Set.of(), 3_000).orElseThrow(), SICK);
        mTrust.onStarted(SICK, "trial", 3_600, 3_000);
        assertEquals(picksOf(Kinds.LOOKUP, 3_001), 0);
    }

    @Test
    public void furtherTryIsNoTrial() {
        mTrust.onSetback(SICK, Setback.FAILED, 0);
        for (int draw = 0; draw < DRAWS; draw++) {
            Endpoint picked = mBalancer.pickAgain(Kinds.LOOKUP, Set.of(), 3_000).orElseThrow();
            assertFalse(picked.equals(SICK));
        }
    }

    @Test
    public void noTrialsWithoutABudgetForFurtherTries() {
        mTrust.onSetback(SICK, Setback.FAILED, 0);
        mTrust.allowTrials(false);
        assertEquals(picksOf(Kinds.LOOKUP, 3_000), 0);
    }

    /** When most targets look bad, the cause is elsewhere, and the few others would drown. */
    @Test
    public void allTargetsAreUsedWhenMostHaveLostTrust() {
        for (int number = 0; number < TARGETS - 2; number++) {
            mTrust.onSetback(target(number), Setback.FAILED, 0);
        }
        assertTrue(picksOf(Kinds.SIGN_OFF, 1) > 0);
    }

    @Test
    public void trustComesBackWithoutNews() {
        mTrust.onSetback(SICK, Setback.FAILED, 0);
        assertTrue(mTrust.isTrusted(SICK, 13_000));
    }

    @Test
    public void targetThatLeftIsForgotten() {
        mTrust.onSetback(SICK, Setback.FAILED, 0);
        mTrust.retain(Set.copyOf(List.of(target(1))));
        assertTrue(mTrust.isTrusted(SICK, 1));
    }

    private int picksOf(org.dahliapass.model.RequestKind kind, long nowMillis) {
        int picks = 0;
        for (int draw = 0; draw < DRAWS; draw++) {
            Endpoint picked = mBalancer.pick(kind, Set.of(), nowMillis).orElseThrow();
            picks += picked.equals(SICK) ? 1 : 0;
        }
        return picks;
    }

    private static Endpoint target(int number) {
        return new Endpoint("10.0.0." + (number + 1), 80);
    }
}
