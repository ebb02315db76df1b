package org.dahliapass.lab.capacity;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;

/** All measured lines, by quantity. */
final class Slopes {
    private final Map<Quantity, Slope> mSlopes = new EnumMap<>(Quantity.class);

    /** Adds lines, each in place of an earlier one of its quantity. */
    Slopes add(Collection<Slope> slopes) {
        slopes.forEach(slope -> mSlopes.put(slope.quantity(), slope));
        return this;
    }

    /** Returns all lines in the order of {@link Quantity}. */
    Collection<Slope> all() {
        return mSlopes.values();
    }

    /**
     * Returns a quantity at a size; never less than 0.
     *
     * @throws IllegalStateException if the quantity was not measured
     */
    double at(Quantity quantity, double size) {
        return Math.max(0, line(quantity).at(size));
    }

    /** Returns what one unit of size adds to a quantity. */
    double perUnit(Quantity quantity) {
        return line(quantity).slope();
    }

    private LineFit line(Quantity quantity) {
        Slope slope = mSlopes.get(quantity);
        if (slope == null) {
            throw new IllegalStateException("Not measured: " + quantity.label() + ".");
        }
        return slope.line();
    }
}
