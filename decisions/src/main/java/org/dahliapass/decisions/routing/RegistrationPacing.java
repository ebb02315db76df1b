package org.dahliapass.decisions.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Spreads the registrations of all VMs over time, when the store has lost them at once.
 *
 * @param writesPerSecond the writes per second that the store allows to all VMs together
 */
public record RegistrationPacing(int writesPerSecond) {
    /** A lease and the entry under it. */
    private static final int WRITES_PER_REGISTRATION = 2;

    /** The share of the allowed writes that registrations may use. */
    private static final double WRITE_SHARE = 0.5;

    private static final long SECOND_MILLIS = 1_000;

    /**
     * Returns the time over which the VMs of a fleet spread their registrations.
     *
     * @param vms the number of VMs
     */
    public Duration window(int vms) {
        double seconds = vms * WRITES_PER_REGISTRATION / (writesPerSecond * WRITE_SHARE);
        return Duration.ofMillis(Math.round(seconds * SECOND_MILLIS));
    }

    /**
     * Returns a random delay within the window of a fleet, in milliseconds.
     *
     * @param vms the number of VMs
     */
    public long delayMillis(int vms, RandomGenerator random) {
        return random.nextLong(window(vms).toMillis() + 1);
    }
}
