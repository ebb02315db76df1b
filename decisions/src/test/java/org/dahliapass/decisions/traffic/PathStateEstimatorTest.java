package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.Test;

/** Tests of {@link PathStateEstimator}. */
public final class PathStateEstimatorTest {
    private static final Endpoint TARGET = Kinds.endpoint(0);

    private final PathStateEstimator mPaths = new PathStateEstimator();

    @Test
    public void lossesThatTheTargetExplainsBadlyBlameThePath() {
        mPaths.forget(Set.of(TARGET));
        mPaths.onObservation(TARGET, Observation.SILENT, 0.01, 1_000);
        mPaths.onObservation(TARGET, Observation.SILENT, 0.01, 1_100);
        assertTrue(mPaths.partitionProbability(TARGET, 1_100) > 0.9);
    }

    @Test
    public void lossesThatTheTargetExplainsWellDoNot() {
        mPaths.forget(Set.of(TARGET));
        mPaths.onObservation(TARGET, Observation.SILENT, 0.9, 1_000);
        mPaths.onObservation(TARGET, Observation.SILENT, 0.9, 1_100);
        assertTrue(mPaths.partitionProbability(TARGET, 1_100) < 0.05);
    }

    @Test
    public void answerProvesThePathEvenIfItIsAnError() {
        mPaths.forget(Set.of(TARGET));
        mPaths.onObservation(TARGET, Observation.BROKEN, 0.01, 1_000);
        mPaths.onObservation(TARGET, Observation.ERROR, 0.5, 1_100);
        assertTrue(mPaths.partitionProbability(TARGET, 1_100) < 0.1);
    }

    @Test
    public void cutPathIsTriedAgainAfterAWhile() {
        mPaths.forget(Set.of(TARGET));
        mPaths.onObservation(TARGET, Observation.SILENT, 0.01, 1_000);
        mPaths.onObservation(TARGET, Observation.SILENT, 0.01, 1_100);
        assertTrue(mPaths.partitionProbability(TARGET, 12_000) < 0.5);
    }
}
