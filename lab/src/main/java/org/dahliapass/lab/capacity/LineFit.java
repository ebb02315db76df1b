package org.dahliapass.lab.capacity;

/**
 * A straight line through measured points, by least squares.
 *
 * @param base the value at size 0
 * @param slope the value that each unit of size adds
 */
record LineFit(double base, double slope) {
    private static final int LEAST_POINTS = 2;

    /**
     * Fits the line.
     *
     * @throws IllegalArgumentException unless there are as many values as sizes, and two different
     *     sizes at least
     */
    static LineFit of(double[] sizes, double[] values) {
        if (sizes.length != values.length || sizes.length < LEAST_POINTS) {
            throw new IllegalArgumentException(
                    "A line needs two points at least, and a value for each size.");
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
            throw new IllegalArgumentException("A line needs two different sizes at least.");
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
