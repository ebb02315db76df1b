package org.dahliapass.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The keys and leases of the platform's metadata store, with one revision for all changes.
 *
 * <p>Each call first ends the leases whose time is over at {@code nowMillis}, which removes their
 * keys.
 */
public final class MetadataTable {
    /** The lease of keys that stay. */
    public static final long NO_LEASE = 0;

    private final TreeMap<String, Entry> mEntries = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Deque<Change> mChanges = new ArrayDeque<>();
    private long mRevision;
    private long mForgotten;
    private long mLastLease;

    /**
     * A key with its value.
     *
     * @param key the key
     * @param value its value in base64
     * @param revision the revision of its last change
     * @param created the revision of its creation
     * @param lease the lease that it ends with
     */
    public record Entry(String key, String value, long revision, long created, long lease) {}

    /**
     * A change of one key.
     *
     * @param key the key
     * @param revision the revision of the change
     * @param entry the key as it was written; empty if it was removed
     */
    public record Change(String key, long revision, Optional<Entry> entry) {}

    private record Lease(long timeToLiveMillis, long endsAtMillis) {}

    /** Returns the newest revision. */
    public synchronized long revision(long nowMillis) {
        lapse(nowMillis);
        return mRevision;
    }

    /** Returns the keys with a prefix, in order. */
    public synchronized List<Entry> range(String prefix, long nowMillis) {
        lapse(nowMillis);
        return mEntries.values().stream().filter(entry -> entry.key().startsWith(prefix)).toList();
    }

    /** Returns the changes after a revision; empty if they are no longer known. */
    public synchronized Optional<List<Change>> changes(
            String prefix, long revision, long nowMillis) {
        lapse(nowMillis);
        if (revision < mForgotten) {
            return Optional.empty();
        }
        return Optional.of(
                mChanges.stream()
                        .filter(change -> change.revision() > revision)
                        .filter(change -> change.key().startsWith(prefix))
                        .toList());
    }

    /** Writes a key; false if there is no such lease. */
    public synchronized boolean put(String key, String value, long lease, long nowMillis) {
        lapse(nowMillis);
        if (lease != NO_LEASE && !mLeases.containsKey(lease)) {
            return false;
        }
        mRevision++;
        Entry before = mEntries.get(key);
        long created = before == null ? mRevision : before.created();
        Entry entry = new Entry(key, value, mRevision, created, lease);
        mEntries.put(key, entry);
        mChanges.add(new Change(key, mRevision, Optional.of(entry)));
        return true;
    }

    /** Returns the revision of a key; 0 if it is absent. */
    public synchronized long revisionOf(String key, long nowMillis) {
        lapse(nowMillis);
        Entry entry = mEntries.get(key);
        return entry == null ? 0 : entry.revision();
    }

    /** Removes a key. */
    public synchronized void remove(String key, long nowMillis) {
        lapse(nowMillis);
        drop(key);
    }

    /** Begins a lease and returns its number. */
    public synchronized long grant(long timeToLiveMillis, long nowMillis) {
        lapse(nowMillis);
        mLastLease++;
        mLeases.put(mLastLease, new Lease(timeToLiveMillis, nowMillis + timeToLiveMillis));
        return mLastLease;
    }

    /** Renews a lease; false if it has ended. */
    public synchronized boolean renew(long lease, long nowMillis) {
        lapse(nowMillis);
        return mLeases.computeIfPresent(
                        lease,
                        (number, old) ->
                                new Lease(
                                        old.timeToLiveMillis(), nowMillis + old.timeToLiveMillis()))
                != null;
    }

    /** Ends a lease and removes its keys; false if it had ended. */
    public synchronized boolean revoke(long lease, long nowMillis) {
        lapse(nowMillis);
        return endLease(lease);
    }

    /** Forgets all changes so far. */
    public synchronized void compactHistory() {
        mChanges.clear();
        mForgotten = mRevision;
    }

    private void lapse(long nowMillis) {
        List<Long> over = new ArrayList<>();
        mLeases.forEach(
                (number, lease) -> {
                    if (lease.endsAtMillis() <= nowMillis) {
                        over.add(number);
                    }
                });
        over.forEach(this::endLease);
    }

    private boolean endLease(long lease) {
        if (mLeases.remove(lease) == null) {
            return false;
        }
        mEntries.values().stream()
                .filter(entry -> entry.lease() == lease)
                .map(Entry::key)
                .toList()
                .forEach(this::drop);
        return true;
    }

    private void drop(String key) {
        if (mEntries.remove(key) != null) {
            mRevision++;
            mChanges.add(new Change(key, mRevision, Optional.empty()));
        }
    }
}
