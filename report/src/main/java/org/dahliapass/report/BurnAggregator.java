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
 * Aggregates the VMs' snapshots incrementally, without retaining them.
 *
 * <p>All times are ages by the clock of the VM that counted; clocks of different VMs are never
 * compared. Thread-safe.
 */
final class BurnAggregator {
    private final Predicate<String> mCustomerFilter;
    private final Map<SeriesKey, SeriesAggregator> mSeries = new LinkedHashMap<>();
    private final List<RespondingVm> mResponding = new ArrayList<>();
    private final List<UnresponsiveVm> mUnresponsive = new ArrayList<>();
    private long mUncounted;

    /** Creates an empty aggregator that ignores customers rejected by the filter. */
    BurnAggregator(Predicate<String> customerFilter) {
        mCustomerFilter = customerFilter;
    }

    /** Adds a VM's snapshot. */
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

    /** Adds a VM whose snapshot could not be read. */
    synchronized void addUnresponsive(UnresponsiveVm vm) {
        mUnresponsive.add(vm);
    }

    /** Returns the report on all VMs added. */
    synchronized BurnReport toReport(long nowMillis) {
        List<SeriesBurn> series =
                mSeries.entrySet().stream()
                        .map(entry -> entry.getKey().toSeriesBurn(entry.getValue()))
                        .sorted(SeriesBurn.WORST_FIRST)
                        .toList();
        return new BurnReport(
                nowMillis,
                mResponding.stream()
                        .sorted((left, right) -> left.vm().compareTo(right.vm()))
                        .toList(),
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
     * Returns the fraction of all VMs' time between two ages that was counted. The time before a
     * VM's start counts as missing, since the VM it replaced took its counts with it.
     */
    private double coverage(long newestAge, long oldestAge) {
        int vms = mResponding.size() + mUnresponsive.size();
        if (vms == 0) {
            return 0;
        }
        AgeRange range = new AgeRange(newestAge, oldestAge);
        return mResponding.stream()
                        .mapToDouble(vm -> range.fractionWithin(new AgeRange(0, vm.ageMillis())))
                        .sum()
                / vms;
    }

    private record SeriesKey(String customer, String service, String kind) {
        SeriesBurn toSeriesBurn(SeriesAggregator totals) {
            return totals.toSeriesBurn(customer, service, kind);
        }
    }
}
