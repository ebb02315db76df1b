package org.dahliapass.standins;

/**
 * What a target is made of.
 *
 * @param slots how many requests it works on at once
 * @param serviceMillis how long one takes, in milliseconds
 * @param coldMillis how long after its start it works {@value #COLD_FACTOR} times slower, in
 *     milliseconds
 * @param seed the seed from which it draws which requests fail
 */
public record TargetSettings(int slots, long serviceMillis, long coldMillis, long seed) {
    /** How much slower a cold target works. */
    static final int COLD_FACTOR = 5;
}
