package org.dahliapass.decisions.configuration;

/**
 * Settings of a {@link ConfigurationFollower}.
 *
 * @param windowCapacity maximum number of changes in the window
 * @param fanout number of members that receive a rumor
 * @param responseTimeoutMillis time after which a fetch is retried at another source
 * @param storeReadIntervalMillis minimum time between two reads of the store
 * @param storeRankDelayMillis time that each rank waits for the previous one to read a group
 * @param maxTextsInFlight maximum number of concurrent fetches of texts
 * @param textCacheSize maximum number of cached texts that this VM doesn't need itself
 */
public record FollowerSettings(
        int windowCapacity,
        int fanout,
        long responseTimeoutMillis,
        long storeReadIntervalMillis,
        long storeRankDelayMillis,
        int maxTextsInFlight,
        int textCacheSize) {
    /** The settings in production. */
    public static final FollowerSettings DEFAULTS =
            new FollowerSettings(Head.RING_CAPACITY, 4, 500, 50, 2_000, 16, 32);
}
