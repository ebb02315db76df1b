package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.TargetInstance;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link TargetSelector}. */
public final class TargetSelectorTest {
    private static final int TARGETS = 10;
    private static final int SLOTS = 3;
    private static final int DRAWS = 300;
    private static final long NOW = 10_000;
    private static final String ZONE = "near";

    private final List<WeightedTarget> mTargets = Kinds.targets(TARGETS);
    private SlotTable mSlots;
    private PassiveFailureDetector mEvidence;
    private TargetSelector mPlacement;

    @BeforeMethod
    public void start() {
        mSlots = new SlotTable(SLOTS, 1_000);
        mEvidence = new PassiveFailureDetector(new ServiceTimeEstimator(), mSlots);
        mPlacement = new TargetSelector(ZONE, 0.7, mSlots, mEvidence, new SplittableRandom(3));
        for (int number = 0; number < TARGETS; number++) {
            for (int proof = 0; proof < 5; proof++) {
                answered(number, NOW - 100 - 10L * proof);
            }
        }
    }

    /**
     * A sign-off would be lost at a target that began to fail a moment ago. The others prove
     * themselves all the time; this one's last proof gets older, long before anything is overdue.
     */
    @Test
    public void requestThatMustNotRepeatAvoidsAnOldProof() {
        proveAllBut(0, NOW + 2_900);
        assertTrue(picksOf(Kinds.SIGN_OFF, 0, NOW + 3_000) < DRAWS / 100);
    }

    /** The same target is found well again, or not, by requests whose loss can be made good. */
    @Test
    public void requestThatMayRepeatLooksAfterTheOldestProof() {
        proveAllBut(0, NOW + 2_900);
        sendLocks();
        assertTrue(picksOf(Kinds.LOOKUP, 0, NOW + 3_000) > DRAWS * 9 / 10);
    }

    /**
     * A service that gets reads only loses them where they look after doubtful targets, and spends
     * its further tries on that; no lock gains by what they find.
     */
    @Test
    public void readsLookAfterNothingWhereThereAreNoLocks() {
        proveAllBut(0, NOW + 2_900);
        for (int number = 0; number < DRAWS; number++) {
            mEvidence.onFirstAttempt(Kinds.LOOKUP);
        }
        assertTrue(picksOf(Kinds.LOOKUP, 0, NOW + 3_000) < DRAWS / 100);
    }

    @Test
    public void targetThatIsLookedAtGetsNoSecondLook() {
        mSlots.acquire(Kinds.endpoint(0), false);
        mSlots.acquire(Kinds.endpoint(0), false);
        proveAllBut(0, NOW + 900);
        sendLocks();
        assertTrue(picksOf(Kinds.LOOKUP, 0, NOW + 1_000) < DRAWS / 2);
    }

    @Test
    public void silenceTurnsWorkAwayBeforeItIsOverdue() {
        mEvidence.onStarted(Kinds.SIGN_OFF, Kinds.endpoint(0), "work", NOW);
        proveAllBut(0, NOW + 9_900);
        assertTrue(picksOf(Kinds.SIGN_OFF, 0, NOW + 10_000) < DRAWS / 100);
    }

    /**
     * At high load locks were sent to targets that hang, since few of the sound ones had a free
     * slot at that moment: the share of sound targets was taken of the free ones, not of all.
     */
    @Test
    public void waitsForABusySoundTargetRatherThanTakeAFreeFailingOne() {
        failed(0);
        List<WeightedTarget> free = List.of(mTargets.get(0));
        assertEquals(mPlacement.select(Kinds.SIGN_OFF, free, mTargets, NOW + 1), Optional.empty());
    }

    /**
     * A lookup ended with an error although another target was free: the sound target had been
     * tried already, the other one was in doubt, and a further try can't wait for better.
     */
    @Test
    public void furtherTryTakesADoubtfulTargetRatherThanNone() {
        failed(0);
        List<WeightedTarget> free = List.of(mTargets.get(0));
        assertEquals(
                mPlacement.selectForRetry(Kinds.LOOKUP, free, mTargets, NOW + 1),
                Optional.of(Kinds.endpoint(0)));
    }

    /** When most targets look bad the cause is elsewhere, and the few others would drown. */
    @Test
    public void takesAnyTargetWhenMostHaveFailed() {
        for (int number = 0; number < TARGETS - 2; number++) {
            failed(number);
        }
        assertTrue(
                mPlacement
                        .select(Kinds.SIGN_OFF, mTargets.subList(0, 1), mTargets, NOW + 1)
                        .isPresent());
    }

    @Test
    public void fullTargetIsLeftAloneForAMoment() {
        shed(0);
        assertEquals(picksOf(Kinds.SIGN_OFF, 0, NOW + 100), 0);
        assertTrue(picksOf(Kinds.SIGN_OFF, 0, NOW + 300) > 0);
    }

    /**
     * Locks were refused for seconds although targets took half of what they were sent. All targets
     * refuse a part of their work at random, so each of them was full a moment ago.
     */
    @Test
    public void takesATargetThatWasFullWhenAllWere() {
        for (int number = 0; number < TARGETS; number++) {
            shed(number);
        }
        assertTrue(mPlacement.select(Kinds.SIGN_OFF, mTargets, mTargets, NOW + 100).isPresent());
    }

    @Test
    public void amongEqualsTheLessLoadedIsTaken() {
        for (int number = 1; number < TARGETS; number++) {
            mSlots.acquire(Kinds.endpoint(number), false);
        }
        assertTrue(picksOf(Kinds.SIGN_OFF, 0, NOW) > DRAWS / TARGETS);
    }

    @Test
    public void furtherTryGoesWhereItIsSafest() {
        failed(0);
        for (int draw = 0; draw < DRAWS; draw++) {
            Endpoint chosen =
                    mPlacement
                            .selectForRetry(Kinds.LOOKUP, mTargets, mTargets, NOW + 1)
                            .orElseThrow();
            assertFalse(chosen.equals(Kinds.endpoint(0)));
        }
    }

    @Test
    public void largeAnswersStayWithinTheZoneWhileATargetThereIsFree() {
        WeightedTarget near =
                new WeightedTarget(TargetInstance.atFixedAddress(Kinds.endpoint(0)), ZONE, 1, true);
        WeightedTarget far =
                new WeightedTarget(
                        TargetInstance.atFixedAddress(Kinds.endpoint(1)), "far", 1, true);
        List<WeightedTarget> both = List.of(near, far);
        for (int draw = 0; draw < DRAWS; draw++) {
            assertEquals(
                    mPlacement.select(Kinds.EXTRACT, both, both, NOW).orElseThrow(),
                    near.endpoint());
        }
        assertEquals(
                mPlacement.select(Kinds.EXTRACT, List.of(far), both, NOW).orElseThrow(),
                far.endpoint());
    }

    private void proveAllBut(int target, long sentMillis) {
        for (int number = 0; number < TARGETS; number++) {
            for (int proof = 0; number != target && proof < 3; proof++) {
                answered(number, sentMillis + proof);
            }
        }
    }

    private void sendLocks() {
        for (int number = 0; number < DRAWS; number++) {
            mEvidence.onFirstAttempt(Kinds.SIGN_OFF);
        }
    }

    private void answered(int target, long sentMillis) {
        mEvidence.onPeerObservation(
                new TargetObservation(Kinds.endpoint(target), Observation.ANSWERED, sentMillis));
    }

    private void failed(int target) {
        for (int number = 0; number < 2; number++) {
            mEvidence.onPeerObservation(
                    new TargetObservation(Kinds.endpoint(target), Observation.ERROR, NOW + number));
        }
    }

    private void shed(int target) {
        mEvidence.onEnded(
                Kinds.LOOKUP, Kinds.endpoint(target), "full", NOW, Outcome.REFUSED_SHED, NOW);
    }

    private int picksOf(RequestKind kind, int target, long now) {
        int picks = 0;
        for (int draw = 0; draw < DRAWS; draw++) {
            Endpoint chosen = mPlacement.select(kind, mTargets, mTargets, now).orElseThrow();
            picks += chosen.equals(Kinds.endpoint(target)) ? 1 : 0;
        }
        return picks;
    }
}
