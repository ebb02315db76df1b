package org.dahliapass.lab.capacity;

/**
 * A least-squares straight line through measured points.
 *
 * @param base the value at size 0
 * @param slope the increase per unit of size
 */
record LineFit(double base, double slope) {
    private static final int MIN_POINTS = 2;

    /**
     * Fits the line.
     *
     * @throws IllegalArgumentException unless there are as many values as sizes, and at least two
     *     different sizes
     */
    static LineFit of(double[] sizes, double[] values) {
        if (sizes.length != values.length || sizes.length < MIN_POINTS) {
            throw new IllegalArgumentException(
                    "A line fit needs at least two points and one value for each size.");
        }
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double products = 0;
        double squares = 0;
        for (int i = 0; i < sizes.length; i++) {
            products += (sizes[i] - meanSize) * (values[i] - meanValue);
            squares += (sizes[i] - meanSize) * (sizes[i] - meanSize);
        }
        if (squares <= 0) {
            throw new IllegalArgumentException("A line fit needs at least two different sizes.");
        }
        double slope = products / squares;
        return new LineFit(meanValue - slope * meanSize, slope);
    }

    /** Returns the line's value at a size. */
    double at(double size) {
        return base + slope * size;
    }

    private static double mean(double[] numbers) {
        double sum = 0;
        for (double number : numbers) {
            sum += number;
        }
        return sum / numbers.length;
    }
}
