package org.dahliapass.lab.capacity;

import java.util.List;

/**
 * A quantity measured at several sizes, with a line fitted to the medians.
 *
 * @param quantity the measured quantity
 * @param points the results by size
 * @param line the line fitted to the medians
 */
record Measurement(Quantity quantity, List<Point> points, LineFit line) {
    /**
     * The result at one size.
     *
     * @param size what {@link Quantity#sizeUnit} counts
     * @param spread the spread of the repetitions
     */
    record Point(double size, Spread spread) {}

    Measurement {
        points = List.copyOf(points);
    }

    /** Returns a measurement with a line fitted to the medians of the points. */
    static Measurement of(Quantity quantity, List<Point> points) {
        double[] sizes = points.stream().mapToDouble(Point::size).toArray();
        double[] medians = points.stream().mapToDouble(point -> point.spread().median()).toArray();
        return new Measurement(quantity, points, LineFit.of(sizes, medians));
    }

    /** Returns the largest spread of the repetitions at any size, relative to the median. */
    double maxRelativeSpread() {
        return points.stream().mapToDouble(point -> point.spread().relativeWidth()).max().orElse(0);
    }

    /** Returns the largest deviation of the line from a median, relative to the median. */
    double maxRelativeError() {
        return points.stream()
                .filter(point -> point.spread().median() > 0)
                .mapToDouble(point -> Math.abs(line.at(point.size()) / point.spread().median() - 1))
                .max()
                .orElse(0);
    }
}
