package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link FailureModel}. */
public final class FailureModelTest {
    private static final int MANY = 60;

    private FailureModel mRates;

    @BeforeMethod
    public void start() {
        mRates = new FailureModel();
    }

    @Test
    public void beginsWithBoutsOfSecondsAndRareFailures() {
        assertEquals(1 / mRates.recoveryPerMilli(), 5_000, 1e-6);
        assertEquals(1 / mRates.onsetPerMilli(), 30_000, 1e-6);
        assertEquals(mRates.failureRateWhenHealthy(), 0.01, 1e-9);
    }

    @Test
    public void learnsHowOftenAndHowLong() {
        for (int number = 0; number < MANY; number++) {
            mRates.onHealthyTime(120_000);
            mRates.onOnset();
            mRates.onFailurePeriod(20_000, 9, 0, 10);
        }
        assertEquals(1 / mRates.onsetPerMilli(), 120_000, 12_000);
        assertEquals(1 / mRates.recoveryPerMilli(), 20_000, 2_000);
        assertEquals(mRates.failureRateWhenFailing(), 0.9, 0.02);
    }

    @Test
    public void learnsWhetherFailuresShowAsSilence() {
        mRates.onFailurePeriod(5_000, 40, 40, 50);
        assertTrue(
                mRates.silentShareWhenFailing() > 0.9,
                "all silent: " + mRates.silentShareWhenFailing());
        for (int number = 0; number < MANY; number++) {
            mRates.onFailurePeriod(5_000, 40, 0, 50);
        }
        assertTrue(
                mRates.silentShareWhenFailing() < 0.1,
                "none silent: " + mRates.silentShareWhenFailing());
    }

    /** A release that makes bouts shorter must show within minutes, not hours. */
    @Test
    public void olderEvidenceFades() {
        for (int number = 0; number < 10 * MANY; number++) {
            mRates.onFailurePeriod(60_000, 3, 0, 4);
        }
        for (int number = 0; number < 3 * MANY; number++) {
            mRates.onFailurePeriod(2_000, 3, 0, 4);
        }
        assertTrue(1 / mRates.recoveryPerMilli() < 10_000);
    }

    /** Sound targets that fail a third of their work would make every bout invisible. */
    @Test
    public void failuresOfSoundTargetsStayWellBelowThoseOfABout() {
        mRates.onHealthyAttempts(900, 1_000);
        mRates.onFailurePeriod(1_000, 1, 0, 1_000);
        assertTrue(mRates.failureRateWhenHealthy() < mRates.failureRateWhenFailing() / 2);
    }
}
