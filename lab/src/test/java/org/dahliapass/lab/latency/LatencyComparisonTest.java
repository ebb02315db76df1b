package org.dahliapass.lab.latency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests for {@link LatencyComparison}. */
public class LatencyComparisonTest {
    private static LatencyRecorder tally(int millis, boolean right) {
        LatencyRecorder tally = new LatencyRecorder();
        tally.recordResponse(millis * 1_000_000L, true);
        tally.recordResponse(millis * 1_000_000L, right);
        tally.recordBatch(1_000_000_000L, 1_000_000_000L);
        return tally;
    }

    @Test
    public void theDifferenceIsWhatTheVmAdds() {
        LatencyComparison comparison =
                new LatencyComparison("GET", 2, tally(3, true), tally(8, true));
        assertEquals(comparison.addedMillis(99), 5.0, 0.02);
        assertTrue(comparison.isCorrect());
        assertTrue(comparison.row().endsWith("| yes, yes | 0, 0 |"), comparison.row());
    }

    @Test
    public void aWrongAnswerOfOneSideShowsInTheRow() {
        LatencyComparison comparison =
                new LatencyComparison("GET", 2, tally(3, true), tally(8, false));
        assertFalse(comparison.isCorrect());
        assertTrue(comparison.row().endsWith("| yes, no (1/s) | 0, 1 |"), comparison.row());
    }
}
