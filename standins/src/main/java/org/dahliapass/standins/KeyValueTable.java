package org.dahliapass.standins;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * The store's keys and sessions: compare-and-swap by modify index, and keys held by sessions.
 *
 * <p>Each call first lets the sessions lapse whose time to live has run out at {@code nowMillis};
 * their keys are released but kept. There is no delay between a lapse and the next acquire.
 */
public final class KeyValueTable {
    /** The index of a key that was never written. */
    public static final long FIRST_INDEX = 1;

    /** The time to live of a session that never lapses by itself. */
    public static final long UNLIMITED = 0;

    private record Session(long timeToLiveMillis, long endsAtMillis) {
        static Session begin(long timeToLiveMillis, long nowMillis) {
            return new Session(
                    timeToLiveMillis,
                    timeToLiveMillis == UNLIMITED ? Long.MAX_VALUE : nowMillis + timeToLiveMillis);
        }
    }

    private final Map<String, KeyValueEntry> mEntries = new HashMap<>();
    private final Map<String, Long> mRemovals = new HashMap<>();
    private final Map<String, Session> mSessions = new HashMap<>();
    private final RandomGenerator mRandom;
    private long mIndex = FIRST_INDEX;

    /** Creates an empty table that draws session ids from the generator. */
    public KeyValueTable(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns the key's entry, empty if it is absent. */
    public synchronized Optional<KeyValueEntry> get(String key, long nowMillis) {
        lapse(nowMillis);
        return Optional.ofNullable(mEntries.get(key));
    }

    /** Returns the index of the key's newest change, its removal included. */
    public synchronized long index(String key, long nowMillis) {
        lapse(nowMillis);
        KeyValueEntry entry = mEntries.get(key);
        return entry != null ? entry.modifyIndex() : mRemovals.getOrDefault(key, FIRST_INDEX);
    }

    /** Writes the key whatever it holds; a holder keeps it. */
    public synchronized void put(String key, String value, long nowMillis) {
        lapse(nowMillis);
        store(key, value, holder(key));
    }

    /** Writes the key if its modify index is the expected one; 0 expects that it is absent. */
    public synchronized boolean compareAndSwap(
            String key, String value, long expected, long nowMillis) {
        lapse(nowMillis);
        if (!isAt(key, expected)) {
            return false;
        }
        store(key, value, holder(key));
        return true;
    }

    /** Writes and holds the key if the session is alive and no other session holds the key. */
    public synchronized boolean acquire(String key, String value, String session, long nowMillis) {
        lapse(nowMillis);
        String holder = holder(key);
        if (!mSessions.containsKey(session) || !(holder.isEmpty() || holder.equals(session))) {
            return false;
        }
        store(key, value, session);
        return true;
    }

    /** Writes and releases the key if the session holds it. */
    public synchronized boolean release(String key, String value, String session, long nowMillis) {
        lapse(nowMillis);
        if (session.isEmpty() || !holder(key).equals(session)) {
            return false;
        }
        store(key, value, "");
        return true;
    }

    /** Removes the key. */
    public synchronized void delete(String key, long nowMillis) {
        lapse(nowMillis);
        remove(key);
    }

    /** Removes the key if its modify index is the expected one. */
    public synchronized boolean compareAndDelete(String key, long expected, long nowMillis) {
        lapse(nowMillis);
        if (!isAt(key, expected)) {
            return false;
        }
        remove(key);
        return true;
    }

    /** Makes a session with a time to live in milliseconds and returns its id. */
    public synchronized String createSession(long timeToLiveMillis, long nowMillis) {
        lapse(nowMillis);
        String id = new UUID(mRandom.nextLong(), mRandom.nextLong()).toString();
        mSessions.put(id, Session.begin(timeToLiveMillis, nowMillis));
        return id;
    }

    /** Begins the session's time to live anew; false if the session has lapsed. */
    public synchronized boolean renewSession(String id, long nowMillis) {
        lapse(nowMillis);
        return mSessions.computeIfPresent(
                        id, (same, session) -> Session.begin(session.timeToLiveMillis(), nowMillis))
                != null;
    }

    /** Returns whether the session is alive. */
    public synchronized boolean hasSession(String id, long nowMillis) {
        lapse(nowMillis);
        return mSessions.containsKey(id);
    }

    /** Ends the session and releases its keys. */
    public synchronized void destroySession(String id, long nowMillis) {
        lapse(nowMillis);
        end(id);
    }

    private void lapse(long nowMillis) {
        List<String> lapsed =
                mSessions.entrySet().stream()
                        .filter(session -> session.getValue().endsAtMillis() <= nowMillis)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        lapsed.forEach(this::end);
    }

    private void end(String session) {
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

    private boolean isAt(String key, long expected) {
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
            mRemovals.put(key, mIndex);
        }
    }
}
