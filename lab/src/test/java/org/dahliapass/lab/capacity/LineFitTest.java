package org.dahliapass.lab.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests for {@link LineFit}, {@link Measurement} and {@link Spread}. */
public final class LineFitTest {
    private static final double EXACT = 1e-9;

    @Test
    public void fitsExactLine() {
        LineFit line = LineFit.of(new double[] {1, 4, 8}, new double[] {149, 419, 779});

        assertEquals(line.base(), 59, EXACT);
        assertEquals(line.slope(), 90, EXACT);
        assertEquals(line.at(100), 9059, EXACT);
    }

    @Test
    public void outlierChangesLineAndIncreasesError() {
        Measurement straight = measurement(10, 20, 30);
        Measurement bent = measurement(10, 20, 60);

        assertEquals(straight.maxRelativeError(), 0, EXACT);
        // Least squares for (1,10), (2,20), (3,60): base -20, slope 25.
        assertEquals(bent.line().base(), -20, EXACT);
        assertEquals(bent.line().slope(), 25, EXACT);
        assertEquals(bent.maxRelativeError(), 0.5, EXACT);
    }

    @Test
    public void rejectsFewerThanTwoSizesOrMismatchedValues() {
        assertThrows(
                IllegalArgumentException.class,
                () -> LineFit.of(new double[] {5}, new double[] {5}));
        assertThrows(
                IllegalArgumentException.class,
                () -> LineFit.of(new double[] {5, 5}, new double[] {1, 2}));
        assertThrows(
                IllegalArgumentException.class,
                () -> LineFit.of(new double[] {5, 6}, new double[] {1}));
    }

    @Test
    public void spreadReportsRelativeRangeOfRepetitions() {
        Spread wide = Spread.of(12, 8, 10);
        Spread narrow = Spread.of(10);

        assertEquals(wide, new Spread(8, 10, 12));
        assertEquals(wide.relativeWidth(), 0.4, EXACT);
        assertEquals(narrow.relativeWidth(), 0, EXACT);
        assertThrows(IllegalArgumentException.class, Spread::of);
        assertTrue(Spread.of(-1, 0, 1).relativeWidth() == 0);
    }

    private static Measurement measurement(double... medians) {
        List<Measurement.Point> points = new ArrayList<>();
        for (double median : medians) {
            points.add(new Measurement.Point(points.size() + 1.0, Spread.of(median)));
        }
        return Measurement.of(Quantity.CELL_PLAN, points);
    }
}
