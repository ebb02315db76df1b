package org.dahliapass.decisions.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A cache of leased store entries that retains entries for a grace period after a store outage.
 *
 * <p>During an outage the leases of healthy writers expire, and the writers need about two seconds
 * after the recovery to write their entries again. Without the grace period, services would lose
 * all targets and the fleet all VMs. Entries that expire together are also retained, because the
 * outage may end before it is detected. A single expired entry was removed on purpose and is
 * evicted at once.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the entries
 */
public final class LeasedEntryCache<T> {
    private final long mGraceMillis;
    private final Map<String, T> mEntries = new LinkedHashMap<>();
    private final Map<String, Long> mEvictAtMillis = new HashMap<>();
    private long mGraceUntilMillis = Long.MIN_VALUE;
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
        mEvictAtMillis.remove(name);
    }

    /** Evicts an entry at once, without a grace period. */
    public void evict(String name) {
        if (mEntries.remove(name) != null) {
            mModificationCount++;
        }
        mEvictAtMillis.remove(name);
    }

    /** Starts the grace period after the store recovered from an outage. */
    public void onStoreRecovered(long nowMillis) {
        mGraceUntilMillis = nowMillis + mGraceMillis;
    }

    /**
     * Starts or extends the grace period after the store was restored from an older copy, which
     * lacks entries until their writers write them again.
     *
     * @param nowMillis the current time, in milliseconds
     * @param writeWindow the time over which the writers spread their writes
     */
    public void onStoreRestored(long nowMillis, Duration writeWindow) {
        mGraceUntilMillis =
                Math.max(mGraceUntilMillis, nowMillis + mGraceMillis + writeWindow.toMillis());
        mEvictAtMillis.replaceAll((name, millis) -> Math.max(millis, mGraceUntilMillis));
    }

    /**
     * Evicts entries that expired in the store at the same time, or retains them for the grace
     * period if a store outage is the likely cause.
     *
     * @param names the names of the expired entries
     * @param outageThreshold the number of entries whose simultaneous expiry indicates an outage
     * @param nowMillis the current time, in milliseconds
     */
    public void onExpired(Set<String> names, int outageThreshold, long nowMillis) {
        Set<String> known = new HashSet<>(names);
        known.retainAll(mEntries.keySet());
        boolean outage = nowMillis < mGraceUntilMillis || known.size() >= outageThreshold;
        for (String name : known) {
            if (outage) {
                long evictAtMillis =
                        nowMillis < mGraceUntilMillis
                                ? mGraceUntilMillis
                                : nowMillis + mGraceMillis;
                mEvictAtMillis.putIfAbsent(name, evictAtMillis);
            } else {
                evict(name);
            }
        }
    }

    /** Evicts the entries whose grace period is over and returns their names. */
    public List<String> evictExpired(long nowMillis) {
        List<String> expired = new ArrayList<>();
        mEvictAtMillis.forEach(
                (name, evictAtMillis) -> {
                    if (evictAtMillis <= nowMillis) {
                        expired.add(name);
                    }
                });
        for (String name : expired) {
            evict(name);
        }
        return expired;
    }

    /**
     * Returns when the next grace period ends, in milliseconds; empty if no expired entry is
     * retained.
     */
    public OptionalLong nextEvictionMillis() {
        return mEvictAtMillis.values().stream().mapToLong(Long::longValue).min();
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
