package org.dahliapass.lab.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A logarithmic scale from values to pixels, which clamps values outside its range.
 *
 * @param low the lowest value
 * @param high the highest value
 * @param start the pixel of the lowest value
 * @param end the pixel of the highest value
 */
record LogScale(double low, double high, double start, double end) {
    private static final double BASE = 10;

    double pixel(double value) {
        double clamped = Math.max(low, Math.min(high, value));
        double fraction = Math.log(clamped / low) / Math.log(high / low);
        return start + fraction * (end - start);
    }

    /** Returns the multiples of the lowest value by powers of ten that lie on the scale. */
    List<Double> ticks() {
        List<Double> ticks = new ArrayList<>();
        for (double tick = low; tick <= high; tick *= BASE) {
            ticks.add(tick);
        }
        return ticks;
    }

    /** Formats a duration in milliseconds or seconds. */
    static String duration(double millis) {
        return millis < 1_000
                ? String.format(Locale.ROOT, "%.0f ms", millis)
                : String.format(Locale.ROOT, "%.0f s", millis / 1_000);
    }
}
