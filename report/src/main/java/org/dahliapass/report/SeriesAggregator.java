package org.dahliapass.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.burn.ErrorBudgetBucket;

/** Aggregates the counts of one request kind over all VMs. */
final class SeriesAggregator {
    private final Map<BurnWindow, OutcomeTally> mWindows = new EnumMap<>(BurnWindow.class);
    private final List<OutcomeTally> mTimeline =
            new ArrayList<>(Collections.nCopies(ReportTimeline.STEP_COUNT, OutcomeTally.EMPTY));
    private long mObjectiveAge = Long.MAX_VALUE;
    private double mObjective;

    /** Adds a bucket of one VM. */
    void add(ErrorBudgetBucket bucket, AgeRange range) {
        updateObjective(bucket, range);
        for (BurnWindow window : BurnWindow.values()) {
            double fraction = range.fractionWithin(new AgeRange(0, window.millis()));
            if (fraction > 0) {
                mWindows.merge(window, OutcomeTally.of(bucket, fraction), OutcomeTally::plus);
            }
        }
        for (int step = 0; step < ReportTimeline.STEP_COUNT; step++) {
            double fraction =
                    range.fractionWithin(
                            new AgeRange(
                                    ReportTimeline.minAgeMillis(step),
                                    ReportTimeline.maxAgeMillis(step)));
            if (fraction > 0) {
                mTimeline.set(step, mTimeline.get(step).plus(OutcomeTally.of(bucket, fraction)));
            }
        }
    }

    /** Keeps the newest bucket's objective, as VMs may briefly use different template revisions. */
    private void updateObjective(ErrorBudgetBucket bucket, AgeRange range) {
        if (range.maxAgeMillis() < mObjectiveAge) {
            mObjectiveAge = range.maxAgeMillis();
            mObjective = bucket.objective();
        }
    }

    /** Returns the burn of all buckets added. */
    SeriesBurn toSeriesBurn(String customer, String service, String kind) {
        List<WindowBurn> burns = Arrays.stream(BurnWindow.values()).map(this::windowBurn).toList();
        WindowBurns windows = new WindowBurns(burns);
        return new SeriesBurn(
                customer, service, kind, mObjective, Verdict.of(windows), windows, mTimeline);
    }

    private WindowBurn windowBurn(BurnWindow window) {
        OutcomeTally tally = mWindows.getOrDefault(window, OutcomeTally.EMPTY);
        return new WindowBurn(window, tally, tally.burnRate(mObjective));
    }
}
