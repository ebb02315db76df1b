package org.dahliapass.lab.latency;

import java.util.Locale;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.DoubleStream;

/**
 * What one rate showed, asked directly and through the VM.
 *
 * @param request the request's method
 * @param rate requests a second, the same on both sides
 * @param direct the target asked directly
 * @param viaVm the same request through the VM
 */
record LatencyComparison(String request, int rate, LatencyRecorder direct, LatencyRecorder viaVm) {
    private static final double[] PERCENTILES = {50, 99, 99.9};

    /** Returns the table's head, in Markdown. */
    static String header() {
        return "| Request | Requests/s | Direct p50, p99, p99.9 (ms) | Via VM (ms) |"
                + " Difference (ms) | Sustained (direct, VM) | Wrong (direct, VM) |\n"
                + "|---|---|---|---|---|---|---|";
    }

    /** Returns the table's row, in Markdown. */
    String row() {
        return String.format(
                Locale.ROOT,
                "| %s | %d | %s | %s | %s | %s, %s | %d, %d |",
                request,
                rate,
                values(direct::percentileMillis),
                values(viaVm::percentileMillis),
                values(this::addedMillis),
                word(direct),
                word(viaVm),
                direct.errors(),
                viaVm.errors());
    }

    /** Returns by how much a percentile via the VM is higher than directly, in milliseconds. */
    double addedMillis(double percentile) {
        return viaVm.percentileMillis(percentile) - direct.percentileMillis(percentile);
    }

    /** Returns whether no request of either side was answered wrongly. */
    boolean isCorrect() {
        return direct.errors() == 0 && viaVm.errors() == 0;
    }

    private static String values(DoubleUnaryOperator millisAt) {
        return DoubleStream.of(PERCENTILES)
                .mapToObj(at -> String.format(Locale.ROOT, "%.3f", millisAt.applyAsDouble(at)))
                .collect(Collectors.joining(", "));
    }

    private static String word(LatencyRecorder tally) {
        return tally.isSustained()
                ? "yes"
                : String.format(Locale.ROOT, "no (%.0f/s)", tally.responsesPerSecond());
    }
}
