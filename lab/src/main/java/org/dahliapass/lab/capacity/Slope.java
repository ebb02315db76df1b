package org.dahliapass.lab.capacity;

import java.util.List;

/**
 * One quantity, measured at several sizes, and the line through the medians.
 *
 * @param quantity what was measured
 * @param points the measurements
 * @param line the line through the medians
 */
record Slope(Quantity quantity, List<Point> points, LineFit line) {
    /**
     * The measurement at one size.
     *
     * @param size what {@link Quantity#per} counts
     * @param spread the repetitions
     */
    record Point(double size, Spread spread) {}

    Slope {
        points = List.copyOf(points);
    }

    /** Fits the line through the medians of the points. */
    static Slope of(Quantity quantity, List<Point> points) {
        double[] sizes = points.stream().mapToDouble(Point::size).toArray();
        double[] medians = points.stream().mapToDouble(point -> point.spread().median()).toArray();
        return new Slope(quantity, points, LineFit.of(sizes, medians));
    }

    /** Returns the widest spread of the repetitions at any size, as a share of the median. */
    double width() {
        return points.stream().mapToDouble(point -> point.spread().width()).max().orElse(0);
    }

    /** Returns by how much the line misses a median at most, as a share of the median. */
    double miss() {
        return points.stream()
                .filter(point -> point.spread().median() > 0)
                .mapToDouble(point -> Math.abs(line.at(point.size()) / point.spread().median() - 1))
                .max()
                .orElse(0);
    }
}
