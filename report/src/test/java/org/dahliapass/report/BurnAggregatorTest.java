package org.dahliapass.report;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.dahliapass.model.burn.ErrorBudgetBucket;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;
import org.dahliapass.model.burn.Outcome;
import org.dahliapass.model.burn.OutcomeHistory;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link BurnAggregator} and the {@link Verdict} on the aggregated counts. */
public final class BurnAggregatorTest {
    private static final long NOW = 1_800_000_000_000L;
    private static final long MINUTE = 60_000;
    private static final long HOUR = 60 * MINUTE;
    private static final double DELTA = 1e-6;

    private BurnAggregator mAggregator;

    @BeforeMethod
    public void setUp() {
        mAggregator = new BurnAggregator(customer -> true);
    }

    /**
     * Returns bad requests of 100 per minute, the start and end in minutes ago, and the verdict.
     */
    @DataProvider
    public Object[][] burnPeriods() {
        return new Object[][] {
            {0, 0, 0, Verdict.WITHIN_BUDGET},
            {2, 360, 0, Verdict.FAST_BURN},
            {2, 61, 0, Verdict.FAST_BURN},
            {20, 4, 0, Verdict.OVER_BUDGET},
            {2, 360, 6, Verdict.SLOW_BURN},
            {1, 360, 0, Verdict.SLOW_BURN},
            {1, 360, 31, Verdict.OVER_BUDGET},
            {10, 360, 31, Verdict.OVER_BUDGET},
        };
    }

    @Test(dataProvider = "burnPeriods")
    public void verdictRequiresShortAndLongWindow(
            int badInMinute, int fromMinutesAgo, int toMinutesAgo, Verdict verdict) {
        OutcomeHistory history = new OutcomeHistory(1);
        for (int ago = 360; ago > 0; ago--) {
            boolean burning = ago <= fromMinutesAgo && ago > toMinutesAgo;
            for (int request = 0; request < 100; request++) {
                boolean bad = burning && request < badInMinute;
                history.record(
                        "himal",
                        "desk",
                        "lock",
                        0.999,
                        bad ? Outcome.FAILED : Outcome.GOOD,
                        NOW - ago * MINUTE);
            }
        }
        mAggregator.add(
                new ErrorBudgetSnapshot("a~1", NOW - 7 * HOUR, NOW, 0, history.buckets(NOW)));

        assertEquals(mAggregator.toReport(NOW).series().get(0).verdict(), verdict);
    }

    @Test
    public void countsAreAlignedByAgeDespiteClockSkew() {
        long wrongClock = NOW - 3 * HOUR;
        mAggregator.add(snapshot("a~1", NOW, bucket(NOW - MINUTE / 2, 10_000, 90, 10)));
        mAggregator.add(
                snapshot("b~1", wrongClock, bucket(wrongClock - MINUTE / 2, 10_000, 100, 0)));

        WindowBurn minute =
                mAggregator.toReport(NOW).series().get(0).windows().of(BurnWindow.ONE_MINUTE);

        assertEquals(minute.tally().total(), 200, DELTA);
        assertEquals(minute.burnRate().orElseThrow(), 10.0 / 200 / 0.01, DELTA);
    }

    @Test
    public void bucketOverlappingWindowStartIsProrated() {
        mAggregator.add(snapshot("a~1", NOW, bucket(NOW - 31 * MINUTE, 5 * MINUTE, 100, 0)));

        WindowBurns windows = mAggregator.toReport(NOW).series().get(0).windows();

        assertEquals(windows.of(BurnWindow.THIRTY_MINUTES).tally().total(), 80, DELTA);
        assertEquals(windows.of(BurnWindow.ONE_HOUR).tally().total(), 100, DELTA);
        assertTrue(windows.of(BurnWindow.FIVE_MINUTES).burnRate().isEmpty());
    }

    @Test
    public void currentBucketIsCountedInFull() {
        mAggregator.add(snapshot("a~1", NOW, bucket(NOW, 10_000, 7, 0)));

        BurnReport report = mAggregator.toReport(NOW);

        assertEquals(
                report.series().get(0).windows().of(BurnWindow.ONE_MINUTE).tally().total(),
                7,
                DELTA);
        assertEquals(
                report.series().get(0).course().get(ReportTimeline.STEP_COUNT - 1).total(),
                7,
                DELTA);
    }

    // Time without counts must be reported as missing data, not as time without failures.
    @Test
    public void newAndUnresponsiveVmsReduceCoverage() {
        mAggregator.add(new ErrorBudgetSnapshot("a~1", NOW - 7 * HOUR, NOW, 0, List.of()));
        mAggregator.add(new ErrorBudgetSnapshot("b~1", NOW - 30 * MINUTE, NOW, 3, List.of()));
        mAggregator.addUnresponsive(new UnresponsiveVm("c", "10.0.0.3:9", "could not connect"));

        BurnReport report = mAggregator.toReport(NOW);

        assertEquals(coverage(report, BurnWindow.THIRTY_MINUTES), 2.0 / 3, DELTA);
        assertEquals(coverage(report, BurnWindow.ONE_HOUR), 1.5 / 3, DELTA);
        assertEquals(report.courseCoverage().get(0), 1.0 / 3, DELTA);
        assertEquals(report.uncounted(), 3);
        assertFalse(report.isComplete());
        assertTrue(String.join("\n", DataGaps.of(report)).contains("1 VM is younger"));
    }

    @Test
    public void reportIsCompleteIfAllVmsCoverLongestWindow() {
        mAggregator.add(new ErrorBudgetSnapshot("a~1", NOW - 7 * HOUR, NOW, 0, List.of()));

        assertTrue(mAggregator.toReport(NOW).isComplete());
        assertEquals(DataGaps.of(mAggregator.toReport(NOW)), List.of());
    }

    @Test
    public void objectiveComesFromNewestBucket() {
        ErrorBudgetBucket older =
                new ErrorBudgetBucket(
                        "himal", "desk", "lock", 0.9, NOW - HOUR, 10_000, 1, 0, 0, 0, 0, 0, 0);
        mAggregator.add(snapshot("a~1", NOW, bucket(NOW - MINUTE, 10_000, 1, 0)));
        mAggregator.add(snapshot("b~1", NOW, older));

        assertEquals(mAggregator.toReport(NOW).series().get(0).objective(), 0.99);
    }

    private static double coverage(BurnReport report, BurnWindow window) {
        return report.coverage().stream()
                .filter(coverage -> coverage.window() == window)
                .findFirst()
                .orElseThrow()
                .share();
    }

    private static ErrorBudgetSnapshot snapshot(String vm, long now, ErrorBudgetBucket bucket) {
        return new ErrorBudgetSnapshot(vm, now - 7 * HOUR, now, 0, List.of(bucket));
    }

    private static ErrorBudgetBucket bucket(long start, long width, long good, long failed) {
        return new ErrorBudgetBucket(
                "himal", "desk", "lock", 0.99, start, width, good, failed, 0, 0, 0, 0, failed);
    }
}
