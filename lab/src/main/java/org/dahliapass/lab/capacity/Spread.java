package org.dahliapass.lab.capacity;

import java.util.Arrays;

/**
 * What repetitions of one measurement gave.
 *
 * @param least the smallest result
 * @param median the middle one
 * @param most the largest one
 */
record Spread(double least, double median, double most) {
    /**
     * Sums up the repetitions.
     *
     * @throws IllegalArgumentException if there are none
     */
    static Spread of(double... results) {
        if (results.length == 0) {
            throw new IllegalArgumentException("Repeat the measurement once at least.");
        }
        double[] sorted = results.clone();
        Arrays.sort(sorted);
        return new Spread(sorted[0], sorted[sorted.length / 2], sorted[sorted.length - 1]);
    }

    /** Returns the width of the results as a share of the median; 0 if the median is 0. */
    double width() {
        return median == 0 ? 0 : (most - least) / Math.abs(median);
    }
}
