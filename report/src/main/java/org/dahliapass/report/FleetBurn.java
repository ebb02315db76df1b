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
final class FleetBurn {
    private final Predicate<String> mCustomers;
    private final Map<Key, SeriesTotals> mSeries = new LinkedHashMap<>();
    private final List<AnsweredVm> mAnswered = new ArrayList<>();
    private final List<SilentVm> mSilent = new ArrayList<>();
    private long mUncounted;

    /** Starts with nothing; requests of other customers than those asked for are left out. */
    FleetBurn(Predicate<String> customers) {
        mCustomers = customers;
    }

    /** Adds what a VM tells. */
    synchronized void add(ErrorBudgetSnapshot snapshot) {
        long age = Math.max(0, snapshot.nowMillis() - snapshot.sinceMillis());
        mAnswered.add(new AnsweredVm(snapshot.vm(), age));
        mUncounted += snapshot.uncounted();
        for (ErrorBudgetBucket bucket : snapshot.buckets()) {
            if (!mCustomers.test(bucket.customer())) {
                continue;
            }
            Key key = new Key(bucket.customer(), bucket.service(), bucket.kind());
            mSeries.computeIfAbsent(key, ignored -> new SeriesTotals())
                    .add(bucket, AgeSpan.of(bucket, snapshot));
        }
    }

    /** Notes a VM that tells nothing. */
    synchronized void addSilent(SilentVm vm) {
        mSilent.add(vm);
    }

    /** Returns the report on all that was added. */
    synchronized BurnReport toReport(long nowMillis) {
        List<SeriesBurn> series =
                mSeries.entrySet().stream()
                        .map(entry -> entry.getKey().burnOf(entry.getValue()))
                        .sorted(SeriesBurn.WORST_FIRST)
                        .toList();
        return new BurnReport(
                nowMillis,
                mAnswered.stream().sorted((a, b) -> a.vm().compareTo(b.vm())).toList(),
                mSilent,
                mUncounted,
                Arrays.stream(BurnWindow.values())
                        .map(window -> new WindowCoverage(window, share(0, window.millis())))
                        .toList(),
                IntStream.range(0, Course.STEPS)
                        .mapToObj(step -> share(Course.newestAge(step), Course.oldestAge(step)))
                        .toList(),
                series);
    }

    /**
     * Returns which part of the VMs' time between two ages is known. A VM younger than that stands
     * in for one that was replaced and took its counts with it; a silent VM counts as not known.
     */
    private double share(long newestAge, long oldestAge) {
        int vms = mAnswered.size() + mSilent.size();
        if (vms == 0) {
            return 0;
        }
        AgeSpan span = new AgeSpan(newestAge, oldestAge);
        return mAnswered.stream()
                        .mapToDouble(vm -> span.partWithin(new AgeSpan(0, vm.ageMillis())))
                        .sum()
                / vms;
    }

    private record Key(String customer, String service, String kind) {
        SeriesBurn burnOf(SeriesTotals totals) {
            return totals.toBurn(customer, service, kind);
        }
    }
}
