package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.SplittableRandom;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link TargetStateEstimator}. */
public final class TargetStateEstimatorTest {
    private static final Endpoint TARGET = Kinds.endpoint(0);
    private static final double CLOSE = 1e-9;

    private FailureModel mRates;
    private TargetStateEstimator mBeliefs;

    @BeforeMethod
    public void start() {
        mRates = new FailureModel();
        mBeliefs = new TargetStateEstimator(mRates);
    }

    @Test
    public void targetThatWasNeverSeenIsAsLikelyInABoutAsAny() {
        assertEquals(mBeliefs.failingProbability(TARGET, 0), mRates.failingShare(), CLOSE);
    }

    @Test
    public void answerSpeaksForTheTargetAndItsAgeTakesThatBack() {
        end(Observation.ANSWERED, 1_000);
        double young = mBeliefs.failingProbability(TARGET, 1_100);
        double old = mBeliefs.failingProbability(TARGET, 4_000);
        assertTrue(young < mRates.failingShare());
        assertTrue(old > young && old < mRates.failingShare(), "old: " + old);
        assertEquals(mBeliefs.failingProbability(TARGET, 1_000_000), mRates.failingShare(), 1e-6);
    }

    /** Sound targets fail now and then: one error after fresh proofs is no certainty, two are. */
    @Test
    public void secondErrorMakesABoutSure() {
        for (int number = 0; number < 10; number++) {
            end(Observation.ANSWERED, number * 100L);
        }
        end(Observation.ERROR, 1_000);
        double first = mBeliefs.failingProbability(TARGET, 1_000);
        end(Observation.ERROR, 1_010);
        assertTrue(first < 0.9, "after one: " + first);
        assertTrue(mBeliefs.failingProbability(TARGET, 1_010) > 0.9);
    }

    /** Locks would be sent to a failing target again at once because an old answer came in late. */
    @Test
    public void answerOfOlderWorkDoesNotRedeemANewerFailure() {
        end(Observation.ERROR, 1_000);
        double after = mBeliefs.failingProbability(TARGET, 1_000);
        end(Observation.ANSWERED, 900);
        assertEquals(mBeliefs.failingProbability(TARGET, 1_000), after, CLOSE);
    }

    @Test
    public void failureOfOlderWorkDoesNotSpeakAgainstANewerProof() {
        end(Observation.ANSWERED, 1_000);
        double after = mBeliefs.failingProbability(TARGET, 1_000);
        end(Observation.SILENT, 200);
        assertEquals(mBeliefs.failingProbability(TARGET, 1_000), after, CLOSE);
    }

    @Test
    public void failedTargetBecomesWorthATrialWithTime() {
        for (int number = 0; number < 5; number++) {
            end(Observation.ERROR, number);
        }
        assertTrue(mBeliefs.failingProbability(TARGET, 100) > 0.9);
        assertTrue(mBeliefs.failingProbability(TARGET, 20_000) < 0.5);
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
            end(failed ? Observation.ERROR : Observation.ANSWERED, now);
        }
        assertEquals(mRates.failureRateWhenFailing(), 0.8, 0.1);
        assertEquals(mRates.failureRateWhenHealthy(), 0.01, 0.01);
        assertEquals(1 / mRates.recoveryPerMilli(), 4_000, 1_600);
        assertEquals(1 / mRates.onsetPerMilli(), 16_000, 6_400);
    }

    @Test
    public void targetThatLeftOrStartedAgainIsForgotten() {
        end(Observation.ERROR, 1_000);
        mBeliefs.forget(Set.of(TARGET));
        assertEquals(mBeliefs.failingProbability(TARGET, 1_000), mRates.failingShare(), 0.01);
        end(Observation.ERROR, 1_000);
        mBeliefs.retain(Set.of());
        assertEquals(mBeliefs.lastObservedMillis(TARGET), 0);
    }

    private void end(Observation sign, long sentMillis) {
        mBeliefs.onObservation(
                TARGET,
                sign,
                sign.likelihoodWhenFailing(mRates) / sign.likelihoodWhenHealthy(mRates),
                sentMillis);
    }
}
