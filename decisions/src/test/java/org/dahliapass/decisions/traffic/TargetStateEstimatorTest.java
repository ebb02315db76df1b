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
    private static final double TOLERANCE = 1e-9;

    private FailureModel mModel;
    private TargetStateEstimator mEstimator;

    @BeforeMethod
    public void start() {
        mModel = new FailureModel();
        mEstimator = new TargetStateEstimator(mModel);
    }

    @Test
    public void unobservedTargetHasTheStationaryProbability() {
        assertEquals(mEstimator.failingProbability(TARGET, 0), mModel.failingShare(), TOLERANCE);
    }

    @Test
    public void responseLowersTheProbabilityWhichThenRisesWithAge() {
        observe(Observation.ANSWERED, 1_000);
        double recent = mEstimator.failingProbability(TARGET, 1_100);
        double old = mEstimator.failingProbability(TARGET, 4_000);
        assertTrue(recent < mModel.failingShare());
        assertTrue(old > recent && old < mModel.failingShare(), "old: " + old);
        assertEquals(mEstimator.failingProbability(TARGET, 1_000_000), mModel.failingShare(), 1e-6);
    }

    /** Healthy targets fail now and then: one error after responses is no proof. */
    @Test
    public void secondErrorStartsAFailurePeriod() {
        for (int number = 0; number < 10; number++) {
            observe(Observation.ANSWERED, number * 100L);
        }
        observe(Observation.ERROR, 1_000);
        double afterOne = mEstimator.failingProbability(TARGET, 1_000);
        observe(Observation.ERROR, 1_010);
        assertTrue(afterOne < 0.9, "after one: " + afterOne);
        assertTrue(mEstimator.failingProbability(TARGET, 1_010) > 0.9);
    }

    /** A late response must not direct requests to a failing target again. */
    @Test
    public void responseToAnOlderAttemptDoesNotOverrideANewerFailure() {
        observe(Observation.ERROR, 1_000);
        double after = mEstimator.failingProbability(TARGET, 1_000);
        observe(Observation.ANSWERED, 900);
        assertEquals(mEstimator.failingProbability(TARGET, 1_000), after, TOLERANCE);
    }

    @Test
    public void failureOfAnOlderAttemptDoesNotOverrideANewerResponse() {
        observe(Observation.ANSWERED, 1_000);
        double after = mEstimator.failingProbability(TARGET, 1_000);
        observe(Observation.SILENT, 200);
        assertEquals(mEstimator.failingProbability(TARGET, 1_000), after, TOLERANCE);
    }

    @Test
    public void failingProbabilityDecaysWithTime() {
        for (int number = 0; number < 5; number++) {
            observe(Observation.ERROR, number);
        }
        assertTrue(mEstimator.failingProbability(TARGET, 100) > 0.9);
        assertTrue(mEstimator.failingProbability(TARGET, 20_000) < 0.5);
    }

    /**
     * The simulated failure periods last 4 seconds, 16 seconds apart, with a failure rate of 80%.
     */
    @Test
    public void estimatesTheParametersOfASimulatedTarget() {
        SplittableRandom random = new SplittableRandom(5);
        boolean failing = false;
        long now = 0;
        for (int step = 0; step < 200_000; step++) {
            now += 50;
            double transition = 50.0 / (failing ? 4_000 : 16_000);
            failing = random.nextDouble() < transition ? !failing : failing;
            boolean failed = random.nextDouble() < (failing ? 0.8 : 0.01);
            observe(failed ? Observation.ERROR : Observation.ANSWERED, now);
        }
        assertEquals(mModel.failureRateWhenFailing(), 0.8, 0.1);
        assertEquals(mModel.failureRateWhenHealthy(), 0.01, 0.01);
        assertEquals(1 / mModel.recoveryPerMilli(), 4_000, 1_600);
        assertEquals(1 / mModel.onsetPerMilli(), 16_000, 6_400);
    }

    @Test
    public void removedOrRestartedTargetIsDiscarded() {
        observe(Observation.ERROR, 1_000);
        mEstimator.forget(Set.of(TARGET));
        assertEquals(mEstimator.failingProbability(TARGET, 1_000), mModel.failingShare(), 0.01);
        observe(Observation.ERROR, 1_000);
        mEstimator.retain(Set.of());
        assertEquals(mEstimator.lastObservedMillis(TARGET), 0);
    }

    private void observe(Observation observation, long sentMillis) {
        mEstimator.onObservation(
                TARGET,
                observation,
                observation.likelihoodWhenFailing(mModel)
                        / observation.likelihoodWhenHealthy(mModel),
                sentMillis);
    }
}
