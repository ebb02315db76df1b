package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.Test;

/** Tests of {@link PathStateEstimator}. */
public final class PathStateEstimatorTest {
    private static final Endpoint TARGET = Kinds.endpoint(0);

    private final PathStateEstimator mEstimator = new PathStateEstimator();

    @Test
    public void lossesUnlikelyForTheTargetCountAgainstThePath() {
        mEstimator.forget(Set.of(TARGET));
        mEstimator.onObservation(TARGET, Observation.SILENT, 0.01, 1_000);
        mEstimator.onObservation(TARGET, Observation.SILENT, 0.01, 1_100);
        assertTrue(mEstimator.partitionProbability(TARGET, 1_100) > 0.9);
    }

    @Test
    public void lossesLikelyForTheTargetDoNotCountAgainstThePath() {
        mEstimator.forget(Set.of(TARGET));
        mEstimator.onObservation(TARGET, Observation.SILENT, 0.9, 1_000);
        mEstimator.onObservation(TARGET, Observation.SILENT, 0.9, 1_100);
        assertTrue(mEstimator.partitionProbability(TARGET, 1_100) < 0.05);
    }

    @Test
    public void errorResponseProvesThePath() {
        mEstimator.forget(Set.of(TARGET));
        mEstimator.onObservation(TARGET, Observation.BROKEN, 0.01, 1_000);
        mEstimator.onObservation(TARGET, Observation.ERROR, 0.5, 1_100);
        assertTrue(mEstimator.partitionProbability(TARGET, 1_100) < 0.1);
    }

    @Test
    public void partitionProbabilityDecaysWithTime() {
        mEstimator.forget(Set.of(TARGET));
        mEstimator.onObservation(TARGET, Observation.SILENT, 0.01, 1_000);
        mEstimator.onObservation(TARGET, Observation.SILENT, 0.01, 1_100);
        assertTrue(mEstimator.partitionProbability(TARGET, 12_000) < 0.5);
    }
}
