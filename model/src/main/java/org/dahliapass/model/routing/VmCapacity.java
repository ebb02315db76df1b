package org.dahliapass.model.routing;

/**
 * What a VM has to carry work with, as the platform gave it.
 *
 * @param cores processor time, in seconds a second; 0.01 at least
 * @param linkMegabits what its link carries in each direction, in Mbit/s; 0.01 at least
 */
public record VmCapacity(double cores, double linkMegabits) {
    /**
     * What is assumed of a VM that doesn't say: the middle of those known, 0.3 to 1.5 cores and 7
     * to 1,000 Mbit/s. Where no VM says, all are alike and only the sum depends on it.
     */
    public static final VmCapacity DEFAULT = new VmCapacity(0.6, 100);

    /** The least of either that is believed, a hundredth of a core or of a Mbit/s. */
    public static final double MINIMUM = 0.01;

    /** Checks the figures. */
    public VmCapacity {
        if (!(cores >= MINIMUM) || !(linkMegabits >= MINIMUM)) {
            throw new IllegalArgumentException(
                    "A VM with " + cores + " cores and " + linkMegabits + " Mbit/s");
        }
    }
}
