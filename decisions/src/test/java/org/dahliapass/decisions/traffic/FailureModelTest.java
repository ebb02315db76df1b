package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link FailureModel}. */
public final class FailureModelTest {
    private static final int MANY = 60;

    private FailureModel mModel;

    @BeforeMethod
    public void start() {
        mModel = new FailureModel();
    }

    @Test
    public void priorHasShortFailurePeriodsAndRareFailures() {
        assertEquals(1 / mModel.recoveryPerMilli(), 5_000, 1e-6);
        assertEquals(1 / mModel.onsetPerMilli(), 30_000, 1e-6);
        assertEquals(mModel.failureRateWhenHealthy(), 0.01, 1e-9);
    }

    @Test
    public void learnsFrequencyAndDurationOfFailurePeriods() {
        for (int number = 0; number < MANY; number++) {
            mModel.onHealthyTime(120_000);
            mModel.onOnset();
            mModel.onFailurePeriod(20_000, 9, 0, 10);
        }
        assertEquals(1 / mModel.onsetPerMilli(), 120_000, 12_000);
        assertEquals(1 / mModel.recoveryPerMilli(), 20_000, 2_000);
        assertEquals(mModel.failureRateWhenFailing(), 0.9, 0.02);
    }

    @Test
    public void learnsTheShareOfSilentFailures() {
        mModel.onFailurePeriod(5_000, 40, 40, 50);
        assertTrue(
                mModel.silentShareWhenFailing() > 0.9,
                "all silent: " + mModel.silentShareWhenFailing());
        for (int number = 0; number < MANY; number++) {
            mModel.onFailurePeriod(5_000, 40, 0, 50);
        }
        assertTrue(
                mModel.silentShareWhenFailing() < 0.1,
                "none silent: " + mModel.silentShareWhenFailing());
    }

    /** A change of the duration of failure periods must show within minutes. */
    @Test
    public void olderEvidenceIsDiscounted() {
        for (int number = 0; number < 10 * MANY; number++) {
            mModel.onFailurePeriod(60_000, 3, 0, 4);
        }
        for (int number = 0; number < 3 * MANY; number++) {
            mModel.onFailurePeriod(2_000, 3, 0, 4);
        }
        assertTrue(1 / mModel.recoveryPerMilli() < 10_000);
    }

    /** Otherwise failure periods can't be detected. */
    @Test
    public void healthyFailureRateStaysBelowTheFailingOne() {
        mModel.onHealthyAttempts(900, 1_000);
        mModel.onFailurePeriod(1_000, 1, 0, 1_000);
        assertTrue(mModel.failureRateWhenHealthy() < mModel.failureRateWhenFailing() / 2);
    }
}
