package org.dahliapass.report;

import java.util.List;

/**
 * The burn of the whole fleet, and what isn't known of it.
 *
 * @param generatedMillis when it was collected
 * @param answered the VMs that told what they know
 * @param silent the VMs that told nothing
 * @param uncounted requests that VMs left out as their memory for kinds was full
 * @param coverage how much of each window is known
 * @param courseCoverage how much of each step of {@link ReportTimeline} is known, oldest first
 * @param series the request kinds, the worst first
 */
record BurnReport(
        long generatedMillis,
        List<RespondingVm> answered,
        List<UnresponsiveVm> silent,
        long uncounted,
        List<WindowCoverage> coverage,
        List<Double> courseCoverage,
        List<SeriesBurn> series) {
    BurnReport {
        answered = List.copyOf(answered);
        silent = List.copyOf(silent);
        coverage = List.copyOf(coverage);
        courseCoverage = List.copyOf(courseCoverage);
        series = List.copyOf(series);
    }

    /** Returns how many request kinds got a verdict. */
    long count(Verdict verdict) {
        return series.stream().filter(burn -> burn.verdict() == verdict).count();
    }

    /** Returns whether every VM answered and has counted for the longest window. */
    boolean isComplete() {
        return silent.isEmpty()
                && uncounted == 0
                && coverage.stream().allMatch(window -> window.share() >= 1);
    }
}
