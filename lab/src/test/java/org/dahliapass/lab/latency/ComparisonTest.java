package org.dahliapass.lab.latency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests for {@link Comparison}. */
public class ComparisonTest {
    private static LoadTally tally(int millis, boolean right) {
        LoadTally tally = new LoadTally();
        tally.onAnswer(millis * 1_000_000L, true);
        tally.onAnswer(millis * 1_000_000L, right);
        tally.onBlock(1_000_000_000L, 1_000_000_000L);
        return tally;
    }

    @Test
    public void theDifferenceIsWhatTheVmAdds() {
        Comparison comparison = new Comparison("GET", 2, tally(3, true), tally(8, true));
        assertEquals(comparison.addedMillis(99), 5.0, 0.02);
        assertTrue(comparison.isRight());
        assertTrue(comparison.row().endsWith("| yes, yes | 0, 0 |"), comparison.row());
    }

    @Test
    public void aWrongAnswerOfOneSideShowsInTheRow() {
        Comparison comparison = new Comparison("GET", 2, tally(3, true), tally(8, false));
        assertFalse(comparison.isRight());
        assertTrue(comparison.row().endsWith("| yes, no (1/s) | 0, 1 |"), comparison.row());
    }
}
