package org.dahliapass.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.burn.ErrorBudgetBucket;

/** Adds up what all VMs tell of one request kind. */
final class SeriesAggregator {
    private final Map<BurnWindow, OutcomeTally> mWindows = new EnumMap<>(BurnWindow.class);
    private final List<OutcomeTally> mTimeline =
            new ArrayList<>(Collections.nCopies(ReportTimeline.STEP_COUNT, OutcomeTally.EMPTY));
    private long mObjectiveAge = Long.MAX_VALUE;
    private double mObjective;

    /** Adds one VM's span. */
    void add(ErrorBudgetBucket bucket, AgeRange span) {
        updateObjective(bucket, span);
        for (BurnWindow window : BurnWindow.values()) {
            double part = span.fractionWithin(new AgeRange(0, window.millis()));
            if (part > 0) {
                mWindows.merge(window, OutcomeTally.of(bucket, part), OutcomeTally::plus);
            }
        }
        for (int step = 0; step < ReportTimeline.STEP_COUNT; step++) {
            double part =
                    span.fractionWithin(
                            new AgeRange(
                                    ReportTimeline.minAgeMillis(step),
                                    ReportTimeline.maxAgeMillis(step)));
            if (part > 0) {
                mTimeline.set(step, mTimeline.get(step).plus(OutcomeTally.of(bucket, part)));
            }
        }
    }

    /** VMs may hold two revisions of a template for some seconds; the newest span's word holds. */
    private void updateObjective(ErrorBudgetBucket bucket, AgeRange span) {
        if (span.maxAgeMillis() < mObjectiveAge) {
            mObjectiveAge = span.maxAgeMillis();
            mObjective = bucket.objective();
        }
    }

    /** Returns the burn so far. */
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
