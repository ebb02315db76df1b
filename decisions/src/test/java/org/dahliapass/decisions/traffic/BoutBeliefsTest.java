package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.SplittableRandom;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link BoutBeliefs}. */
public final class BoutBeliefsTest {
    private static final Endpoint TARGET = Kinds.endpoint(0);
    private static final double CLOSE = 1e-9;

    private BoutRates mRates;
    private BoutBeliefs mBeliefs;

    @BeforeMethod
    public void start() {
        mRates = new BoutRates();
        mBeliefs = new BoutBeliefs(mRates);
    }

    @Test
    public void targetThatWasNeverSeenIsAsLikelyInABoutAsAny() {
        assertEquals(mBeliefs.chance(TARGET, 0), mRates.shareInBout(), CLOSE);
    }

    @Test
    public void answerSpeaksForTheTargetAndItsAgeTakesThatBack() {
        end(WorkSign.ANSWERED, 1_000);
        double young = mBeliefs.chance(TARGET, 1_100);
        double old = mBeliefs.chance(TARGET, 4_000);
        assertTrue(young < mRates.shareInBout());
        assertTrue(old > young && old < mRates.shareInBout(), "old: " + old);
        assertEquals(mBeliefs.chance(TARGET, 1_000_000), mRates.shareInBout(), 1e-6);
    }

    /** Sound targets fail now and then: one error after fresh proofs is no certainty, two are. */
    @Test
    public void secondErrorMakesABoutSure() {
        for (int number = 0; number < 10; number++) {
            end(WorkSign.ANSWERED, number * 100L);
        }
        end(WorkSign.ERROR, 1_000);
        double first = mBeliefs.chance(TARGET, 1_000);
        end(WorkSign.ERROR, 1_010);
        assertTrue(first < 0.9, "after one: " + first);
        assertTrue(mBeliefs.chance(TARGET, 1_010) > 0.9);
    }

    /** Locks would be sent to a failing target again at once because an old answer came in late. */
    @Test
    public void answerOfOlderWorkDoesNotRedeemANewerFailure() {
        end(WorkSign.ERROR, 1_000);
        double after = mBeliefs.chance(TARGET, 1_000);
        end(WorkSign.ANSWERED, 900);
        assertEquals(mBeliefs.chance(TARGET, 1_000), after, CLOSE);
    }

    @Test
    public void failureOfOlderWorkDoesNotSpeakAgainstANewerProof() {
        end(WorkSign.ANSWERED, 1_000);
        double after = mBeliefs.chance(TARGET, 1_000);
        end(WorkSign.SILENT, 200);
        assertEquals(mBeliefs.chance(TARGET, 1_000), after, CLOSE);
    }

    @Test
    public void failedTargetBecomesWorthATrialWithTime() {
        for (int number = 0; number < 5; number++) {
            end(WorkSign.ERROR, number);
        }
        assertTrue(mBeliefs.chance(TARGET, 100) > 0.9);
        assertTrue(mBeliefs.chance(TARGET, 20_000) < 0.5);
    }

    /**
     * The rates of a simulated chain are found from the ends of its work alone: bouts of 4 seconds,
     * 16 seconds apart, in which four of five pieces of work fail.
     */
    @Test
    public void ratesOfAChainAreFound() {
        SplittableRandom random = new SplittableRandom(5);
        boolean inBout = false;
        long now = 0;
        for (int step = 0; step < 200_000; step++) {
            now += 50;
            double turn = 50.0 / (inBout ? 4_000 : 16_000);
            inBout = random.nextDouble() < turn ? !inBout : inBout;
            boolean failed = random.nextDouble() < (inBout ? 0.8 : 0.01);
            end(failed ? WorkSign.ERROR : WorkSign.ANSWERED, now);
        }
        assertEquals(mRates.failedInBout(), 0.8, 0.1);
        assertEquals(mRates.failedSound(), 0.01, 0.01);
        assertEquals(1 / mRates.recoveryPerMilli(), 4_000, 1_600);
        assertEquals(1 / mRates.onsetPerMilli(), 16_000, 6_400);
    }

    @Test
    public void targetThatLeftOrStartedAgainIsForgotten() {
        end(WorkSign.ERROR, 1_000);
        mBeliefs.forget(Set.of(TARGET));
        assertEquals(mBeliefs.chance(TARGET, 1_000), mRates.shareInBout(), 0.01);
        end(WorkSign.ERROR, 1_000);
        mBeliefs.retain(Set.of());
        assertEquals(mBeliefs.seenMillis(TARGET), 0);
    }

    private void end(WorkSign sign, long sentMillis) {
        mBeliefs.onEnd(TARGET, sign, sign.inBout(mRates) / sign.whileSound(mRates), sentMillis);
    }
}
