package org.dahliapass.decisions.configuration;

/**
 * A follower's bounds and times.
 *
 * @param windowCapacity how many of the newest changes it keeps
 * @param fanout to how many members it passes news on
 * @param responseTimeoutMillis how long it waits for an answer before it asks somebody else
 * @param storeReadIntervalMillis the least time between two reads of the store as a last resort
 * @param storeRankDelayMillis how long each later rank waits for the one before it to read a group
 * @param maxTextsInFlight how many texts it fetches at once
 * @param textCacheSize how many texts of others a watcher keeps
 */
public record FollowerSettings(
        int windowCapacity,
        int fanout,
        long responseTimeoutMillis,
        long storeReadIntervalMillis,
        long storeRankDelayMillis,
        int maxTextsInFlight,
        int textCacheSize) {
    /** What runs in the field. */
    public static final FollowerSettings DEFAULTS =
            new FollowerSettings(Head.RING_CAPACITY, 4, 500, 50, 2_000, 16, 32);
}
