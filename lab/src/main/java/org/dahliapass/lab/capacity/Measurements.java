package org.dahliapass.lab.capacity;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;

/** The measurements of all quantities. */
final class Measurements {
    private final Map<Quantity, Measurement> mMeasurements = new EnumMap<>(Quantity.class);

    /** Adds measurements; each replaces an earlier one of the same quantity. */
    Measurements add(Collection<Measurement> measurements) {
        measurements.forEach(measurement -> mMeasurements.put(measurement.quantity(), measurement));
        return this;
    }

    /** Returns all measurements in the order of {@link Quantity}. */
    Collection<Measurement> all() {
        return mMeasurements.values();
    }

    /**
     * Returns the estimate of a quantity at a size; at least 0.
     *
     * @throws IllegalStateException if the quantity has no measurement
     */
    double estimate(Quantity quantity, double size) {
        return Math.max(0, line(quantity).at(size));
    }

    /** Returns the increase of a quantity per unit of size. */
    double perUnit(Quantity quantity) {
        return line(quantity).slope();
    }

    private LineFit line(Quantity quantity) {
        Measurement measurement = mMeasurements.get(quantity);
        if (measurement == null) {
            throw new IllegalStateException(
                    "No measurement of the quantity: " + quantity.label() + ".");
        }
        return measurement.line();
    }
}
