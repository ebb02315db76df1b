package org.dahliapass.standins;

/**
 * The settings of a target stand-in.
 *
 * @param slots the maximum number of concurrent requests
 * @param serviceMillis the service time of a request, in milliseconds
 * @param coldMillis the duration of the cold start, in milliseconds, in which requests take {@value
 *     #COLD_FACTOR} times longer
 * @param seed the seed for the random choice of failing requests
 */
public record TargetSettings(int slots, long serviceMillis, long coldMillis, long seed) {
    /** The factor by which requests take longer during the cold start. */
    static final int COLD_FACTOR = 5;
}
