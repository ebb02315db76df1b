package org.dahliapass.lab.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Maps values to pixels by their logarithm; values beyond the ends are drawn at the ends.
 *
 * @param low the value at the start
 * @param high the value at the end
 * @param start the pixel of the lowest value
 * @param end the pixel of the highest value
 */
record LogScale(double low, double high, double start, double end) {
    private static final double BASE = 10;

    double pixel(double value) {
        double inside = Math.max(low, Math.min(high, value));
        double share = Math.log(inside / low) / Math.log(high / low);
        return start + share * (end - start);
    }

    /** Returns the powers of ten, as multiples of the lowest value, that lie on the scale. */
    List<Double> ticks() {
        List<Double> ticks = new ArrayList<>();
        for (double tick = low; tick <= high; tick *= BASE) {
            ticks.add(tick);
        }
        return ticks;
    }

    /** Returns a tick's label with its unit. */
    static String duration(double millis) {
        return millis < 1_000
                ? String.format(Locale.ROOT, "%.0f ms", millis)
                : String.format(Locale.ROOT, "%.0f s", millis / 1_000);
    }
}
