package org.dahliapass.decisions.health;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link ReportPacer}. */
public final class ReportPacerTest {

    @Test
    public void firstReportIsDueAtOnce() {
        assertTrue(new ReportPacer(4096, 250).isDue(0));
    }

    @Test
    public void smallReportsWaitForTheMinimumInterval() {
        ReportPacer pacer = new ReportPacer(4096, 250);
        pacer.onReported(100, 1000);
        assertFalse(pacer.isDue(1249));
        assertTrue(pacer.isDue(1250));
    }

    @Test
    public void largeReportsDelayTheNextReport() {
        ReportPacer pacer = new ReportPacer(4096, 250);
        pacer.onReported(8192, 1000);
        assertFalse(pacer.isDue(2999));
        assertTrue(pacer.isDue(3000));
    }

    @Test
    public void reportsStayWithinTheBudgetPlusOneReport() {
        ReportPacer pacer = new ReportPacer(4096, 250);
        long bytes = 0;
        long largest = 0;
        for (long now = 0; now < 60_000; now += 50) {
            if (pacer.isDue(now)) {
                long size = 300 + now % 7000;
                bytes += size;
                largest = Math.max(largest, size);
                pacer.onReported(size, now);
            }
        }
        assertTrue(bytes <= 60 * 4096 + largest, bytes + " bytes");
    }
}
