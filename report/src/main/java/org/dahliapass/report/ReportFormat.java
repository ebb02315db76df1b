package org.dahliapass.report;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import java.util.OptionalDouble;

/** Formats numbers and times uniformly in all output formats of the report. */
final class ReportFormat {
    private static final double MIN_WHOLE_RATE = 10;
    private static final double PERCENT = 100;

    private ReportFormat() {}

    /** Returns a burn rate, with one decimal below 10; a dash if there were no requests. */
    static String rate(OptionalDouble rate) {
        if (rate.isEmpty()) {
            return "-";
        }
        double value = rate.getAsDouble();
        if (value > 0 && value < 0.05) {
            return "<0.1";
        }
        return String.format(Locale.ROOT, value < MIN_WHOLE_RATE ? "%.1f" : "%.0f", value);
    }

    /** Returns a share as a percentage without trailing zeros. */
    static String percentage(double share) {
        String text = String.format(Locale.ROOT, "%.4f", share * PERCENT);
        return text.replaceAll("0+$", "").replaceAll("\\.$", "") + "%";
    }

    /** Returns a share as a whole percentage, rounded down. */
    static String coverage(double share) {
        return (int) Math.floor(share * PERCENT) + "%";
    }

    /** Returns a prorated count as a whole number; counts between 0 and 1 are rounded up. */
    static String count(double count) {
        return Long.toString(roundCount(count));
    }

    /** Returns a count like {@link #count}, with thousands separators. */
    static String groupedCount(double count) {
        return String.format(Locale.ROOT, "%,d", roundCount(count));
    }

    private static long roundCount(double count) {
        return count > 0 && count < 1 ? 1 : Math.round(count);
    }

    /** Returns a time in UTC, truncated to seconds. */
    static String time(long millis) {
        return Instant.ofEpochMilli(millis).truncatedTo(ChronoUnit.SECONDS).toString();
    }

    /** Returns a duration such as 2h 5m or 40s. */
    static String duration(long millis) {
        Duration duration = Duration.ofMillis(millis);
        if (duration.toHours() > 0) {
            return duration.toHours() + "h " + duration.toMinutesPart() + "m";
        }
        return duration.toMinutes() > 0
                ? duration.toMinutes() + "m " + duration.toSecondsPart() + "s"
                : duration.toSeconds() + "s";
    }
}
