package org.dahliapass.model.routing;

/**
 * The CPU and network capacity that the platform assigned to a VM.
 *
 * @param cores the number of CPU cores, possibly fractional; at least 0.01
 * @param linkMegabits the bandwidth of the network link in each direction, in Mbit/s; at least 0.01
 */
public record VmCapacity(double cores, double linkMegabits) {
    /** The assumed capacity of a VM that does not register its capacity. */
    public static final VmCapacity DEFAULT = new VmCapacity(0.6, 100);

    /** The minimum of both values, in cores and in Mbit/s. */
    public static final double MINIMUM = 0.01;

    /**
     * Creates a capacity.
     *
     * @throws IllegalArgumentException if a value is below the minimum or not a number
     */
    public VmCapacity {
        if (!(cores >= MINIMUM) || !(linkMegabits >= MINIMUM)) {
            throw new IllegalArgumentException(
                    "VM has "
                            + cores
                            + " cores and "
                            + linkMegabits
                            + " Mbit/s; expected at least "
                            + MINIMUM
                            + " of each");
        }
    }
}
