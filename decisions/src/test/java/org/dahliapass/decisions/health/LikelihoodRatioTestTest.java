package org.dahliapass.decisions.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.random.RandomGenerator;
import org.testng.annotations.Test;

/** Tests {@link LikelihoodRatioTest}. */
public class LikelihoodRatioTestTest {
    private static final double NULL_RATE = 0.02;
    private static final double FAILURE_SHARE = 0.3;

    @Test
    public void failuresRaiseAndSuccessesLowerTheScore() {
        assertTrue(LikelihoodRatioTest.failureScore(counts(0, 5), NULL_RATE, FAILURE_SHARE) > 0);
        assertTrue(LikelihoodRatioTest.failureScore(counts(5, 0), NULL_RATE, FAILURE_SHARE) < 0);
    }

    @Test
    public void nullRateStaysHighForSmallSamplesWithoutFailures() {
        assertTrue(LikelihoodRatioTest.nullRate(counts(9, 0)) > 0.05);
        assertEquals(LikelihoodRatioTest.nullRate(counts(100_000, 0)), 0.005, 1e-9);
    }

    @Test
    public void lowerToleranceAndMoreRequestsRaiseTheBound() {
        assertTrue(LikelihoodRatioTest.bound(1e-4, 1_000) > LikelihoodRatioTest.bound(1e-2, 1_000));
        assertTrue(
                LikelihoodRatioTest.bound(1e-2, 100_000) > LikelihoodRatioTest.bound(1e-2, 1_000));
    }

    @Test
    public void healthyTargetCrossesTheBoundAtMostAtTheToleratedRate() {
        // The bound for one false ejection per 1,000 requests, over 200,000 requests.
        RandomGenerator random = new Random(1);
        double bound = LikelihoodRatioTest.bound(1, 1_000);
        int crossings = 0;
        double score = 0;
        for (int request = 0; request < 200_000; request++) {
            boolean failed = random.nextDouble() < NULL_RATE;
            Counts outcome = failed ? counts(0, 1) : counts(1, 0);
            score =
                    Math.max(
                            0,
                            score
                                    + LikelihoodRatioTest.failureScore(
                                            outcome, NULL_RATE, FAILURE_SHARE));
            if (score >= bound) {
                crossings++;
                score = 0;
            }
        }
        assertTrue(crossings > 0 && crossings <= 200, crossings + " crossings");
    }

    private static Counts counts(int successes, int failures) {
        Counts counts = new Counts();
        counts.add(successes, failures, 0, 0);
        return counts;
    }
}
