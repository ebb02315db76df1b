package org.dahliapass.report;

import java.util.List;

/**
 * The error budget burn of the whole fleet, with the coverage of the data.
 *
 * @param generatedMillis when the report was generated, in milliseconds since 1970
 * @param answered the VMs whose counts are included
 * @param silent the VMs whose counts could not be read
 * @param uncounted the number of requests not counted by VMs that track too many request kinds
 * @param coverage the coverage of each window
 * @param courseCoverage the coverage of each step of {@link ReportTimeline}, 0 to 1, oldest first
 * @param series the burn of each request kind, worst first
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

    /** Returns the number of request kinds with a verdict. */
    long count(Verdict verdict) {
        return series.stream().filter(burn -> burn.verdict() == verdict).count();
    }

    /** Returns whether all VMs responded and cover the longest window. */
    boolean isComplete() {
        return silent.isEmpty()
                && uncounted == 0
                && coverage.stream().allMatch(window -> window.share() >= 1);
    }
}
