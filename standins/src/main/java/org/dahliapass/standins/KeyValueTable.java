package org.dahliapass.standins;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * An in-memory key-value table with compare-and-swap by modify index and session locks.
 *
 * <p>Each call first expires the sessions whose time to live has passed at {@code nowMillis}. Their
 * keys are released but not deleted, and can be acquired at once. Thread-safe.
 */
public final class KeyValueTable {
    /** The modify index of a key that was never written. */
    public static final long FIRST_INDEX = 1;

    /** The time to live of a session that never expires. */
    public static final long UNLIMITED = 0;

    private record Session(long timeToLiveMillis, long expiresAtMillis) {
        static Session startingAt(long timeToLiveMillis, long nowMillis) {
            return new Session(
                    timeToLiveMillis,
                    timeToLiveMillis == UNLIMITED ? Long.MAX_VALUE : nowMillis + timeToLiveMillis);
        }
    }

    private final Map<String, KeyValueEntry> mEntries = new HashMap<>();
    private final Map<String, Long> mRemovalIndexes = new HashMap<>();
    private final Map<String, Session> mSessions = new HashMap<>();
    private final RandomGenerator mRandom;
    private long mIndex = FIRST_INDEX;

    /** Creates an empty table that generates session IDs from {@code random}. */
    public KeyValueTable(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns the key's entry; empty if the key is absent. */
    public synchronized Optional<KeyValueEntry> get(String key, long nowMillis) {
        expireSessions(nowMillis);
        return Optional.ofNullable(mEntries.get(key));
    }

    /** Returns the index of the key's last change, including its removal. */
    public synchronized long index(String key, long nowMillis) {
        expireSessions(nowMillis);
        KeyValueEntry entry = mEntries.get(key);
        return entry != null ? entry.modifyIndex() : mRemovalIndexes.getOrDefault(key, FIRST_INDEX);
    }

    /** Writes the key unconditionally; a session that holds the key still holds it. */
    public synchronized void put(String key, String value, long nowMillis) {
        expireSessions(nowMillis);
        store(key, value, holder(key));
    }

    /** Writes the key if its modify index is {@code expected}; 0 means that it is absent. */
    public synchronized boolean compareAndSwap(
            String key, String value, long expected, long nowMillis) {
        expireSessions(nowMillis);
        if (!hasModifyIndex(key, expected)) {
            return false;
        }
        store(key, value, holder(key));
        return true;
    }

    /** Writes and locks the key if the session is alive and no other session holds the key. */
    public synchronized boolean acquire(String key, String value, String session, long nowMillis) {
        expireSessions(nowMillis);
        String holder = holder(key);
        if (!mSessions.containsKey(session) || !(holder.isEmpty() || holder.equals(session))) {
            return false;
        }
        store(key, value, session);
        return true;
    }

    /** Writes and releases the key if the session holds it. */
    public synchronized boolean release(String key, String value, String session, long nowMillis) {
        expireSessions(nowMillis);
        if (session.isEmpty() || !holder(key).equals(session)) {
            return false;
        }
        store(key, value, "");
        return true;
    }

    /** Deletes the key. */
    public synchronized void delete(String key, long nowMillis) {
        expireSessions(nowMillis);
        remove(key);
    }

    /** Deletes the key if its modify index is {@code expected}. */
    public synchronized boolean compareAndDelete(String key, long expected, long nowMillis) {
        expireSessions(nowMillis);
        if (!hasModifyIndex(key, expected)) {
            return false;
        }
        remove(key);
        return true;
    }

    /** Creates a session with a time to live in milliseconds and returns its ID. */
    public synchronized String createSession(long timeToLiveMillis, long nowMillis) {
        expireSessions(nowMillis);
        String id = new UUID(mRandom.nextLong(), mRandom.nextLong()).toString();
        mSessions.put(id, Session.startingAt(timeToLiveMillis, nowMillis));
        return id;
    }

    /** Restarts the session's time to live; returns false if the session has expired. */
    public synchronized boolean renewSession(String id, long nowMillis) {
        expireSessions(nowMillis);
        return mSessions.computeIfPresent(
                        id,
                        (same, session) ->
                                Session.startingAt(session.timeToLiveMillis(), nowMillis))
                != null;
    }

    /** Returns whether the session is alive. */
    public synchronized boolean hasSession(String id, long nowMillis) {
        expireSessions(nowMillis);
        return mSessions.containsKey(id);
    }

    /** Destroys the session and releases its keys. */
    public synchronized void destroySession(String id, long nowMillis) {
        expireSessions(nowMillis);
        invalidateSession(id);
    }

    private void expireSessions(long nowMillis) {
        List<String> expired =
                mSessions.entrySet().stream()
                        .filter(session -> session.getValue().expiresAtMillis() <= nowMillis)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        expired.forEach(this::invalidateSession);
    }

    private void invalidateSession(String session) {
        mSessions.remove(session);
        List<KeyValueEntry> held =
                mEntries.values().stream()
                        .filter(entry -> entry.isHeld() && entry.session().equals(session))
                        .toList();
        held.forEach(entry -> store(entry.key(), entry.value(), ""));
    }

    private String holder(String key) {
        KeyValueEntry entry = mEntries.get(key);
        return entry == null ? "" : entry.session();
    }

    private boolean hasModifyIndex(String key, long expected) {
        KeyValueEntry entry = mEntries.get(key);
        return (entry == null ? 0 : entry.modifyIndex()) == expected;
    }

    private void store(String key, String value, String session) {
        mIndex++;
        KeyValueEntry old = mEntries.get(key);
        long created = old == null ? mIndex : old.createIndex();
        mEntries.put(key, new KeyValueEntry(key, value, created, mIndex, session));
    }

    private void remove(String key) {
        if (mEntries.remove(key) != null) {
            mIndex++;
            mRemovalIndexes.put(key, mIndex);
        }
    }
}
