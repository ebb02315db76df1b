package org.dahliapass.report;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Says in sentences what a report doesn't know. */
final class DataGaps {
    private static final int MAX_LISTED_VMS = 20;

    private DataGaps() {}

    /** Returns the sentences; none if the report knows all. */
    static List<String> of(BurnReport report) {
        List<String> sentences = new ArrayList<>();
        report.silent().stream()
                .limit(MAX_LISTED_VMS)
                .map(
                        vm ->
                                vm.name()
                                        + " ("
                                        + vm.operators()
                                        + ") didn't tell: "
                                        + vm.reason()
                                        + ".")
                .forEach(sentences::add);
        if (report.silent().size() > MAX_LISTED_VMS) {
            sentences.add(report.silent().size() - MAX_LISTED_VMS + " more VMs didn't tell.");
        }
        addCoverage(report, sentences);
        if (report.uncounted() > 0) {
            sentences.add(
                    report.uncounted()
                            + " requests weren't counted, as a VM's memory for kinds was full.");
        }
        return sentences;
    }

    private static void addCoverage(BurnReport report, List<String> sentences) {
        String partly =
                report.coverage().stream()
                        .filter(window -> window.share() < 1)
                        .map(w -> w.window().label() + " " + ReportFormat.coverage(w.share()))
                        .collect(Collectors.joining(", "));
        if (partly.isEmpty()) {
            return;
        }
        sentences.add(
                "Known share of all VMs' time: " + partly + ". A service's own VMs may differ.");
        long young =
                report.answered().stream()
                        .filter(vm -> vm.ageMillis() < BurnWindow.SIX_HOURS.millis())
                        .count();
        if (young > 0) {
            sentences.add(
                    young
                            + (young == 1 ? " VM is" : " VMs are")
                            + " younger than 6h; what the VMs in their place counted before is"
                            + " gone.");
        }
    }
}
