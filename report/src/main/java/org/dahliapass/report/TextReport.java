package org.dahliapass.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.dahliapass.model.burn.Outcome;

/** Formats the report as a plain-text table. */
final class TextReport {
    private static final String COLUMN_SEPARATOR = "  ";

    private TextReport() {}

    static String of(BurnReport report) {
        List<String> lines = new ArrayList<>();
        int vms = report.answered().size() + report.silent().size();
        lines.add(
                String.format(
                        "Burn report of %s: %d of %d VMs responded.",
                        ReportFormat.time(report.generatedMillis()),
                        report.answered().size(),
                        vms));
        lines.add("");
        addTable(report, lines);
        lines.add("");
        lines.add(
                "A burn rate of 1 uses up exactly the error budget. Fast burn: 5m and 1h over"
                        + " 14.4. Slow burn: 30m and 6h over 6.");
        addDataGaps(report, lines);
        return String.join("\n", lines) + "\n";
    }

    private static void addTable(BurnReport report, List<String> lines) {
        if (report.series().isEmpty()) {
            lines.add("No requests were counted in the last 6 hours.");
            return;
        }
        List<List<String>> rows = new ArrayList<>();
        rows.add(headerRow());
        report.series().forEach(burn -> rows.add(row(burn)));
        int[] widths = widths(rows);
        rows.forEach(row -> lines.add(line(row, widths)));
    }

    private static List<String> headerRow() {
        List<String> cells = new ArrayList<>(List.of("VERDICT", "CUSTOMER/SERVICE/KIND"));
        cells.add("OBJECTIVE");
        Arrays.stream(BurnWindow.values()).map(BurnWindow::label).forEach(cells::add);
        cells.add("BAD/TOTAL 6h");
        cells.add("OUTCOMES 6h");
        return cells;
    }

    private static List<String> row(SeriesBurn burn) {
        List<String> cells = new ArrayList<>();
        cells.add(burn.verdict().label());
        cells.add(burn.qualifiedName().replace(" / ", "/"));
        cells.add(ReportFormat.percentage(burn.objective()));
        burn.windows().windows().forEach(window -> cells.add(ReportFormat.rate(window.burnRate())));
        OutcomeTally tally = burn.windows().of(BurnWindow.SIX_HOURS).tally();
        cells.add(ReportFormat.count(tally.bad()) + "/" + ReportFormat.count(tally.total()));
        cells.add(outcomeCounts(tally));
        return cells;
    }

    /** Returns the counts of outcomes other than good, such as 3 refused, 1 cut. */
    private static String outcomeCounts(OutcomeTally tally) {
        return Arrays.stream(Outcome.values())
                .filter(outcome -> outcome != Outcome.GOOD && tally.count(outcome) > 0)
                .map(
                        outcome ->
                                ReportFormat.count(tally.count(outcome))
                                        + " "
                                        + OutcomeStyle.label(outcome))
                .collect(
                        Collectors.collectingAndThen(
                                Collectors.joining(", "),
                                text -> text.isEmpty() ? "all good" : text));
    }

    private static void addDataGaps(BurnReport report, List<String> lines) {
        List<String> gaps = DataGaps.of(report);
        lines.add("");
        if (gaps.isEmpty()) {
            lines.add("All VMs responded and cover the full 6 hours.");
            return;
        }
        lines.add("Missing data:");
        gaps.forEach(sentence -> lines.add(COLUMN_SEPARATOR + sentence));
    }

    private static int[] widths(List<List<String>> rows) {
        return IntStream.range(0, rows.get(0).size())
                .map(
                        column ->
                                rows.stream()
                                        .mapToInt(row -> row.get(column).length())
                                        .max()
                                        .orElse(0))
                .toArray();
    }

    private static String line(List<String> row, int[] widths) {
        return IntStream.range(0, row.size())
                .mapToObj(column -> pad(row.get(column), widths[column]))
                .collect(Collectors.joining(COLUMN_SEPARATOR))
                .stripTrailing();
    }

    private static String pad(String cell, int width) {
        return cell + " ".repeat(width - cell.length());
    }
}
