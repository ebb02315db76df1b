package org.dahliapass.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.dahliapass.model.burn.ErrorBudgetBucket;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;

/**
 * Adds up what the VMs tell, one after another, so that no more than one VM's answer is held.
 *
 * <p>All times are ages by the telling VM's own clock; clocks of different VMs are never compared.
 * Safe from any thread, as answers arrive on several.
 */
final class BurnAggregator {
    private final Predicate<String> mCustomerFilter;
    private final Map<SeriesKey, SeriesAggregator> mSeries = new LinkedHashMap<>();
    private final List<RespondingVm> mResponding = new ArrayList<>();
    private final List<UnresponsiveVm> mUnresponsive = new ArrayList<>();
    private long mUncounted;

    /** Starts with nothing; requests of other customers than those asked for are left out. */
    BurnAggregator(Predicate<String> customers) {
        mCustomerFilter = customers;
    }

    /** Adds what a VM tells. */
    synchronized void add(ErrorBudgetSnapshot snapshot) {
        long age = Math.max(0, snapshot.nowMillis() - snapshot.sinceMillis());
        mResponding.add(new RespondingVm(snapshot.vm(), age));
        mUncounted += snapshot.uncounted();
        for (ErrorBudgetBucket bucket : snapshot.buckets()) {
            if (!mCustomerFilter.test(bucket.customer())) {
                continue;
            }
            SeriesKey key = new SeriesKey(bucket.customer(), bucket.service(), bucket.kind());
            mSeries.computeIfAbsent(key, ignored -> new SeriesAggregator())
                    .add(bucket, AgeRange.of(bucket, snapshot));
        }
    }

    /** Notes a VM that tells nothing. */
    synchronized void addUnresponsive(UnresponsiveVm vm) {
        mUnresponsive.add(vm);
    }

    /** Returns the report on all that was added. */
    synchronized BurnReport toReport(long nowMillis) {
        List<SeriesBurn> series =
                mSeries.entrySet().stream()
                        .map(entry -> entry.getKey().toSeriesBurn(entry.getValue()))
                        .sorted(SeriesBurn.WORST_FIRST)
                        .toList();
        return new BurnReport(
                nowMillis,
                mResponding.stream().sorted((a, b) -> a.vm().compareTo(b.vm())).toList(),
                mUnresponsive,
                mUncounted,
                Arrays.stream(BurnWindow.values())
                        .map(window -> new WindowCoverage(window, coverage(0, window.millis())))
                        .toList(),
                IntStream.range(0, ReportTimeline.STEP_COUNT)
                        .mapToObj(
                                step ->
                                        coverage(
                                                ReportTimeline.minAgeMillis(step),
                                                ReportTimeline.maxAgeMillis(step)))
                        .toList(),
                series);
    }

    /**
     * Returns which part of the VMs' time between two ages is known. A VM younger than that stands
     * in for one that was replaced and took its counts with it; a silent VM counts as not known.
     */
    private double coverage(long newestAge, long oldestAge) {
        int vms = mResponding.size() + mUnresponsive.size();
        if (vms == 0) {
            return 0;
        }
        AgeRange span = new AgeRange(newestAge, oldestAge);
        return mResponding.stream()
                        .mapToDouble(vm -> span.fractionWithin(new AgeRange(0, vm.ageMillis())))
                        .sum()
                / vms;
    }

    private record SeriesKey(String customer, String service, String kind) {
        SeriesBurn toSeriesBurn(SeriesAggregator totals) {
            return totals.toSeriesBurn(customer, service, kind);
        }
    }
}
