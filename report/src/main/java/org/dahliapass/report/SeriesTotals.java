package org.dahliapass.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.burn.ErrorBudgetBucket;

/** Adds up what all VMs tell of one request kind. */
final class SeriesTotals {
    private final Map<BurnWindow, OutcomeTally> mWindows = new EnumMap<>(BurnWindow.class);
    private final List<OutcomeTally> mCourse =
            new ArrayList<>(Collections.nCopies(Course.STEPS, OutcomeTally.EMPTY));
    private long mObjectiveAge = Long.MAX_VALUE;
    private double mObjective;

    /** Adds one VM's span. */
    void add(ErrorBudgetBucket bucket, AgeSpan span) {
        takeObjective(bucket, span);
        for (BurnWindow window : BurnWindow.values()) {
            double part = span.partWithin(new AgeSpan(0, window.millis()));
            if (part > 0) {
                mWindows.merge(window, OutcomeTally.of(bucket, part), OutcomeTally::plus);
            }
        }
        for (int step = 0; step < Course.STEPS; step++) {
            double part =
                    span.partWithin(new AgeSpan(Course.newestAge(step), Course.oldestAge(step)));
            if (part > 0) {
                mCourse.set(step, mCourse.get(step).plus(OutcomeTally.of(bucket, part)));
            }
        }
    }

    /** VMs may hold two revisions of a template for some seconds; the newest span's word holds. */
    private void takeObjective(ErrorBudgetBucket bucket, AgeSpan span) {
        if (span.oldest() < mObjectiveAge) {
            mObjectiveAge = span.oldest();
            mObjective = bucket.objective();
        }
    }

    /** Returns the burn so far. */
    SeriesBurn toBurn(String customer, String service, String kind) {
        List<WindowBurn> burns = Arrays.stream(BurnWindow.values()).map(this::windowBurn).toList();
        WindowBurns windows = new WindowBurns(burns);
        return new SeriesBurn(
                customer, service, kind, mObjective, Verdict.of(windows), windows, mCourse);
    }

    private WindowBurn windowBurn(BurnWindow window) {
        OutcomeTally tally = mWindows.getOrDefault(window, OutcomeTally.EMPTY);
        return new WindowBurn(window, tally, tally.burnRate(mObjective));
    }
}
