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
    private long mEpoch = 1;

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
     * @param epoch the epoch of the revision
     */
    public record Snapshot(List<Entry> entries, long revision, long epoch) {}

    /**
     * Changes up to a revision.
     *
     * @param changes the changes, in order
     * @param revision the revision up to which they are complete
     * @param epoch the epoch of the revision
     */
    public record History(List<Change> changes, long revision, long epoch) {}

    /** A copy of a table, from which it can be restored. */
    public static final class Backup {
        private final Map<String, Entry> mEntries;
        private final Map<Long, Lease> mLeases;
        private final long mRevision;
        private final long mEpoch;

        private Backup(MetadataTable table) {
            mEntries = new TreeMap<>(table.mEntries);
            mLeases = new HashMap<>(table.mLeases);
            mRevision = table.mRevision;
            mEpoch = table.mEpoch;
        }
    }

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
                mRevision,
                mEpoch);
    }

    /** Returns the number of restores so far, counted from 1. */
    public synchronized long epoch() {
        return mEpoch;
    }

    /** Returns a copy of the current state. */
    public synchronized Backup backup(long nowMillis) {
        expireLeases(nowMillis);
        return new Backup(this);
    }

    /** Returns the entries of a copy with the key prefix, in key order. */
    public static Snapshot range(Backup backup, String prefix) {
        return new Snapshot(
                backup.mEntries.values().stream()
                        .filter(entry -> entry.key().startsWith(prefix))
                        .toList(),
                backup.mRevision,
                backup.mEpoch);
    }

    /**
     * Returns to a copy of an earlier state and raises the epoch. All that was written since is
     * gone, and its revisions are given out again; the leases of the copy run from now.
     */
    public synchronized void restore(Backup backup, long nowMillis) {
        mEntries.clear();
        mEntries.putAll(backup.mEntries);
        mLeases.clear();
        backup.mLeases.forEach(
                (id, lease) ->
                        mLeases.put(
                                id,
                                new Lease(
                                        lease.timeToLiveMillis(),
                                        nowMillis + lease.timeToLiveMillis())));
        mRevision = backup.mRevision;
        mChanges.removeIf(change -> change.revision() > mRevision);
        mCompactedRevision = Math.min(mCompactedRevision, mRevision);
        mEpoch++;
    }

    /** Returns the changes after the revision; empty if that history is not available. */
    public synchronized Optional<History> changes(String prefix, long revision, long nowMillis) {
        expireLeases(nowMillis);
        if (revision < mCompactedRevision || revision > mRevision) {
            return Optional.empty();
        }
        return Optional.of(
                new History(
                        mChanges.stream()
                                .filter(change -> change.revision() > revision)
                                .filter(change -> change.key().startsWith(prefix))
                                .toList(),
                        mRevision,
                        mEpoch));
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
