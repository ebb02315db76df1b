package org.dahliapass.report;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Describes the data missing from a report. */
final class DataGaps {
    private static final int MAX_LISTED_VMS = 20;

    private DataGaps() {}

    /** Returns one sentence for each gap; empty if the data is complete. */
    static List<String> of(BurnReport report) {
        List<String> sentences = new ArrayList<>();
        report.silent().stream()
                .limit(MAX_LISTED_VMS)
                .map(
                        vm ->
                                vm.name()
                                        + " ("
                                        + vm.operators()
                                        + ") didn't respond: "
                                        + vm.reason()
                                        + ".")
                .forEach(sentences::add);
        if (report.silent().size() > MAX_LISTED_VMS) {
            sentences.add(report.silent().size() - MAX_LISTED_VMS + " more VMs didn't respond.");
        }
        addCoverage(report, sentences);
        if (report.uncounted() > 0) {
            sentences.add(
                    report.uncounted()
                            + " requests weren't counted; a VM tracks too many request kinds.");
        }
        return sentences;
    }

    private static void addCoverage(BurnReport report, List<String> sentences) {
        String partialWindows =
                report.coverage().stream()
                        .filter(window -> window.share() < 1)
                        .map(
                                window ->
                                        window.window().label()
                                                + " "
                                                + ReportFormat.coverage(window.share()))
                        .collect(Collectors.joining(", "));
        if (partialWindows.isEmpty()) {
            return;
        }
        sentences.add(
                "Share of all VMs' time covered: "
                        + partialWindows
                        + ". It may differ for single services.");
        long newVms =
                report.answered().stream()
                        .filter(vm -> vm.ageMillis() < BurnWindow.SIX_HOURS.millis())
                        .count();
        if (newVms > 0) {
            sentences.add(
                    newVms
                            + (newVms == 1 ? " VM is" : " VMs are")
                            + " younger than 6h; counts of the VMs they replaced are"
                            + " lost.");
        }
    }
}
