package org.dahliapass.lab.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Compares the production policy with the fastest other variant, row by row. */
final class Comparison {
    private Comparison() {}

    /** Returns one line per row of the production policy, with any violation of the floor. */
    static List<String> lines(List<ResultRow> rows) {
        List<String> lines = new ArrayList<>();
        lines.add("");
        lines.add(
                "Median detection time and healthy target-seconds ejected,"
                        + " against the fastest other variant:");
        for (ResultRow row : rows) {
            if (row.contender().equals(PolicyVariant.CELL.title())) {
                lines.add(line(row, fastestOther(row, rows)));
            }
        }
        return lines;
    }

    /** Returns the row of the other variant that detected the fault fastest, if any did. */
    static Optional<ResultRow> fastestOther(ResultRow row, List<ResultRow> rows) {
        return rows.stream()
                .filter(other -> other.deployment().equals(row.deployment()))
                .filter(other -> other.loadPercent() == row.loadPercent())
                .filter(other -> other.fault().equals(row.fault()))
                .filter(other -> !other.contender().equals(row.contender()))
                .filter(other -> other.detectionMedianMillis() >= 0)
                .min(Comparator.comparingDouble(ResultRow::detectionMedianMillis));
    }

    private static String line(ResultRow row, Optional<ResultRow> other) {
        String summary =
                String.format(
                        Locale.ROOT,
                        "%-9s %3d%% %-42s wrong %.1f",
                        row.deployment(),
                        row.loadPercent(),
                        row.fault(),
                        row.healthyEjectedSeconds());
        String floor = row.crossed() ? " FLOOR CROSSED" : "";
        if (other.isEmpty()) {
            return summary + floor;
        }
        return summary
                + String.format(
                        Locale.ROOT,
                        ", found in %.0f ms; %s: wrong %.1f, found in %.0f ms",
                        row.detectionMedianMillis(),
                        other.get().contender(),
                        other.get().healthyEjectedSeconds(),
                        other.get().detectionMedianMillis())
                + floor;
    }
}
