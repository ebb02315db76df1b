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
 * An in-memory table of keys and leases with one revision counter for all changes.
 *
 * <p>Each call first expires the leases whose time to live has passed at {@code nowMillis} and
 * deletes their keys. Thread-safe.
 */
public final class MetadataTable {
    /** The lease ID of keys without a lease. */
    public static final long NO_LEASE = 0;

    private final TreeMap<String, Entry> mEntries = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Deque<Change> mChanges = new ArrayDeque<>();
    private long mRevision;
    private long mCompactedRevision;
    private long mLastLeaseId;

    /**
     * A key and its value.
     *
     * @param key the key
     * @param value the value in base64
     * @param revision the revision of the key's last change
     * @param created the revision of the key's creation
     * @param lease the ID of the lease that the key expires with; {@link #NO_LEASE} for none
     */
    public record Entry(String key, String value, long revision, long created, long lease) {}

    /**
     * A write or a deletion of one key.
     *
     * @param key the key
     * @param revision the revision of the change
     * @param entry the entry as written; empty for a deletion
     */
    public record Change(String key, long revision, Optional<Entry> entry) {}

    /**
     * Entries as of a revision.
     *
     * @param entries the entries
     * @param revision the revision up to which they hold all changes
     */
    public record Snapshot(List<Entry> entries, long revision) {}

    /**
     * Changes up to a revision.
     *
     * @param changes the changes, in order
     * @param revision the revision up to which they are complete
     */
    public record History(List<Change> changes, long revision) {}

    private record Lease(long timeToLiveMillis, long expiresAtMillis) {}

    /** Returns the current revision. */
    public synchronized long revision(long nowMillis) {
        expireLeases(nowMillis);
        return mRevision;
    }

    /** Returns the entries with the key prefix, in key order. */
    public synchronized Snapshot range(String prefix, long nowMillis) {
        expireLeases(nowMillis);
        return new Snapshot(
                mEntries.values().stream().filter(entry -> entry.key().startsWith(prefix)).toList(),
                mRevision);
    }

    /** Returns the changes after the revision; empty if that history has been compacted. */
    public synchronized Optional<History> changes(String prefix, long revision, long nowMillis) {
        expireLeases(nowMillis);
        if (revision < mCompactedRevision) {
            return Optional.empty();
        }
        return Optional.of(
                new History(
                        mChanges.stream()
                                .filter(change -> change.revision() > revision)
                                .filter(change -> change.key().startsWith(prefix))
                                .toList(),
                        mRevision));
    }

    /** Writes the key; returns false if the lease doesn't exist. */
    public synchronized boolean put(String key, String value, long lease, long nowMillis) {
        expireLeases(nowMillis);
        if (lease != NO_LEASE && !mLeases.containsKey(lease)) {
            return false;
        }
        mRevision++;
        Entry previous = mEntries.get(key);
        long created = previous == null ? mRevision : previous.created();
        Entry entry = new Entry(key, value, mRevision, created, lease);
        mEntries.put(key, entry);
        mChanges.add(new Change(key, mRevision, Optional.of(entry)));
        return true;
    }

    /** Returns the revision of the key; 0 if the key is absent. */
    public synchronized long revisionOf(String key, long nowMillis) {
        expireLeases(nowMillis);
        Entry entry = mEntries.get(key);
        return entry == null ? 0 : entry.revision();
    }

    /** Deletes the key. */
    public synchronized void remove(String key, long nowMillis) {
        expireLeases(nowMillis);
        removeEntry(key);
    }

    /** Grants a lease and returns its ID. */
    public synchronized long grant(long timeToLiveMillis, long nowMillis) {
        expireLeases(nowMillis);
        mLastLeaseId++;
        mLeases.put(mLastLeaseId, new Lease(timeToLiveMillis, nowMillis + timeToLiveMillis));
        return mLastLeaseId;
    }

    /** Renews the lease; returns false if it doesn't exist. */
    public synchronized boolean renew(long lease, long nowMillis) {
        expireLeases(nowMillis);
        return mLeases.computeIfPresent(
                        lease,
                        (id, old) ->
                                new Lease(
                                        old.timeToLiveMillis(), nowMillis + old.timeToLiveMillis()))
                != null;
    }

    /** Revokes the lease and deletes its keys; returns false if it doesn't exist. */
    public synchronized boolean revoke(long lease, long nowMillis) {
        expireLeases(nowMillis);
        return revokeLease(lease);
    }

    /** Removes the change history up to the current revision. */
    public synchronized void compactHistory() {
        mChanges.clear();
        mCompactedRevision = mRevision;
    }

    private void expireLeases(long nowMillis) {
        List<Long> expired = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.expiresAtMillis() <= nowMillis) {
                        expired.add(id);
                    }
                });
        expired.forEach(this::revokeLease);
    }

    private boolean revokeLease(long lease) {
        if (mLeases.remove(lease) == null) {
            return false;
        }
        mEntries.values().stream()
                .filter(entry -> entry.lease() == lease)
                .map(Entry::key)
                .toList()
                .forEach(this::removeEntry);
        return true;
    }

    private void removeEntry(String key) {
        if (mEntries.remove(key) != null) {
            mRevision++;
            mChanges.add(new Change(key, mRevision, Optional.empty()));
        }
    }
}
