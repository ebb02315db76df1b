package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link BoutRates}. */
public final class BoutRatesTest {
    private static final int MANY = 60;

    private BoutRates mRates;

    @BeforeMethod
    public void start() {
        mRates = new BoutRates();
    }

    @Test
    public void beginsWithBoutsOfSecondsAndRareFailures() {
        assertEquals(1 / mRates.recoveryPerMilli(), 5_000, 1e-6);
        assertEquals(1 / mRates.onsetPerMilli(), 30_000, 1e-6);
        assertEquals(mRates.failedSound(), 0.01, 1e-9);
    }

    @Test
    public void learnsHowOftenAndHowLong() {
        for (int number = 0; number < MANY; number++) {
            mRates.onSoundTime(120_000);
            mRates.onOnset();
            mRates.onBout(20_000, 9, 0, 10);
        }
        assertEquals(1 / mRates.onsetPerMilli(), 120_000, 12_000);
        assertEquals(1 / mRates.recoveryPerMilli(), 20_000, 2_000);
        assertEquals(mRates.failedInBout(), 0.9, 0.02);
    }

    @Test
    public void learnsWhetherFailuresShowAsSilence() {
        mRates.onBout(5_000, 40, 40, 50);
        assertTrue(mRates.silentInBout() > 0.9, "all silent: " + mRates.silentInBout());
        for (int number = 0; number < MANY; number++) {
            mRates.onBout(5_000, 40, 0, 50);
        }
        assertTrue(mRates.silentInBout() < 0.1, "none silent: " + mRates.silentInBout());
    }

    /** A release that makes bouts shorter must show within minutes, not hours. */
    @Test
    public void olderEvidenceFades() {
        for (int number = 0; number < 10 * MANY; number++) {
            mRates.onBout(60_000, 3, 0, 4);
        }
        for (int number = 0; number < 3 * MANY; number++) {
            mRates.onBout(2_000, 3, 0, 4);
        }
        assertTrue(1 / mRates.recoveryPerMilli() < 10_000);
    }

    /** Sound targets that fail a third of their work would make every bout invisible. */
    @Test
    public void failuresOfSoundTargetsStayWellBelowThoseOfABout() {
        mRates.onSoundWork(900, 1_000);
        mRates.onBout(1_000, 1, 0, 1_000);
        assertTrue(mRates.failedSound() < mRates.failedInBout() / 2);
    }
}
