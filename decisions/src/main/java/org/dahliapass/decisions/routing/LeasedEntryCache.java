package org.dahliapass.decisions.routing;

import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A cache of leased store entries that retains entries for a grace period after a store outage.
 *
 * <p>During an outage the leases of healthy writers expire, and the writers need about two seconds
 * after the recovery to write their entries again. Without the grace period, services would lose
 * all targets and the fleet all VMs. Entries that are missing at any other time were removed on
 * purpose, or their writers have failed; they are evicted at once, however many they are.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the entries
 */
public final class LeasedEntryCache<T> {
    private final long mGraceMillis;
    private final Map<String, T> mEntries = new LinkedHashMap<>();

    /** The names of the expired entries that are retained until the grace period ends. */
    private final Set<String> mRetained = new LinkedHashSet<>();

    private long mReturnGraceEndMillis = Long.MIN_VALUE;
    private long mRestoreGraceEndMillis = Long.MIN_VALUE;
    private long mModificationCount;

    /**
     * Creates an empty cache.
     *
     * @param graceMillis how long expired entries are retained after the store's recovery, in
     *     milliseconds
     */
    public LeasedEntryCache(long graceMillis) {
        mGraceMillis = graceMillis;
    }

    /** Adds or replaces an entry. */
    public void put(String name, T entry) {
        T previous = mEntries.remove(name);
        mEntries.put(name, entry);
        if (!entry.equals(previous)) {
            mModificationCount++;
        }
        mRetained.remove(name);
    }

    /** Evicts an entry at once, without a grace period. */
    public void evict(String name) {
        if (mEntries.remove(name) != null) {
            mModificationCount++;
        }
        mRetained.remove(name);
    }

    /**
     * Sets the time at which the store returned from its latest outage; replaces an earlier value,
     * as other VMs may show that there was no outage.
     *
     * @param returnMillis the time of the return, in milliseconds; empty without an outage
     */
    public void setStoreReturn(OptionalLong returnMillis) {
        mReturnGraceEndMillis =
                returnMillis.isPresent() ? returnMillis.getAsLong() + mGraceMillis : Long.MIN_VALUE;
    }

    /**
     * Starts or extends the grace period after the store was restored from an older copy, which
     * lacks entries until their writers write them again.
     *
     * @param nowMillis the current time, in milliseconds
     * @param writeWindow the time over which the writers spread their writes
     */
    public void onStoreRestored(long nowMillis, Duration writeWindow) {
        mRestoreGraceEndMillis =
                Math.max(mRestoreGraceEndMillis, nowMillis + mGraceMillis + writeWindow.toMillis());
    }

    /**
     * Evicts entries that are missing in the store, or retains them until the end of the grace
     * period.
     *
     * @param names the names of the missing entries
     * @param nowMillis the current time, in milliseconds
     */
    public void onRemoved(Set<String> names, long nowMillis) {
        for (String name : names) {
            if (!mEntries.containsKey(name)) {
                continue;
            }
            if (nowMillis < graceEndMillis()) {
                mRetained.add(name);
            } else {
                evict(name);
            }
        }
    }

    private long graceEndMillis() {
        return Math.max(mReturnGraceEndMillis, mRestoreGraceEndMillis);
    }

    /** Evicts the retained entries if the grace period is over and returns their names. */
    public List<String> evictExpired(long nowMillis) {
        if (nowMillis < graceEndMillis()) {
            return List.of();
        }
        List<String> expired = List.copyOf(mRetained);
        expired.forEach(this::evict);
        return expired;
    }

    /**
     * Returns when the grace period ends, in milliseconds; empty if no expired entry is retained.
     */
    public OptionalLong nextEvictionMillis() {
        return mRetained.isEmpty() ? OptionalLong.empty() : OptionalLong.of(graceEndMillis());
    }

    /** Returns the number of expired entries that are retained. */
    public int retainedCount() {
        return mRetained.size();
    }

    /**
     * Returns a counter that increases with each change of the entries.
     *
     * <p>Most writes only renew a lease and leave the entry unchanged. The counter lets callers
     * skip the recomputation of derived data.
     */
    public long modificationCount() {
        return mModificationCount;
    }

    /** Returns an unmodifiable view of the entries by name, the last written entry last. */
    public Map<String, T> entries() {
        return Collections.unmodifiableMap(mEntries);
    }
}
