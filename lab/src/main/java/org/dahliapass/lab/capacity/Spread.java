package org.dahliapass.lab.capacity;

import java.util.Arrays;

/**
 * The spread of the repetitions of a measurement.
 *
 * @param least the smallest result
 * @param median the median result
 * @param most the largest result
 */
record Spread(double least, double median, double most) {
    /**
     * Returns the spread of the results.
     *
     * @throws IllegalArgumentException if there are no results
     */
    static Spread of(double... results) {
        if (results.length == 0) {
            throw new IllegalArgumentException("A spread needs at least one result.");
        }
        double[] sorted = results.clone();
        Arrays.sort(sorted);
        return new Spread(sorted[0], sorted[sorted.length / 2], sorted[sorted.length - 1]);
    }

    /** Returns the range of the results relative to the median; 0 if the median is 0. */
    double relativeWidth() {
        return median == 0 ? 0 : (most - least) / Math.abs(median);
    }
}
