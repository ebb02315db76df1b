package org.dahliapass.decisions.traffic;

import java.util.TreeSet;

/**
 * The queued entries of one customer in one lane. The earliest latest start is first; if the order
 * is by objective, those that can still meet their objective come before, the earliest first.
 *
 * @param <T> the caller's handle for a request
 */
final class CustomerEntries<T> {
    private final TreeSet<QueuedEntry<T>> mByLatestStart = new TreeSet<>();
    private final TreeSet<QueuedEntry<T>> mByObjective = new TreeSet<>(QueuedEntry.byObjective());

    void add(QueuedEntry<T> waiting) {
        mByLatestStart.add(waiting);
        mByObjective.add(waiting);
    }

    boolean remove(QueuedEntry<T> waiting) {
        mByObjective.remove(waiting);
        return mByLatestStart.remove(waiting);
    }

    boolean isEmpty() {
        return mByLatestStart.isEmpty();
    }

    int size() {
        return mByLatestStart.size();
    }

    /**
     * Returns the entry to dispatch first; there must be one.
     *
     * @param byObjective whether entries that can still meet their objective come first
     */
    QueuedEntry<T> first(boolean byObjective, long nowMillis) {
        if (!byObjective) {
            return mByLatestStart.first();
        }
        while (!mByObjective.isEmpty() && !mByObjective.first().isOnTime(nowMillis)) {
            mByObjective.pollFirst();
        }
        return mByObjective.isEmpty() ? mByLatestStart.first() : mByObjective.first();
    }

    /** Returns the entry with the latest start; there must be one. */
    QueuedEntry<T> last() {
        return mByLatestStart.last();
    }

    /**
     * Counts the entries that are dispatched before another entry.
     *
     * @param other the entry, one of these or not
     * @param byObjective whether entries that can still meet their objective come first
     */
    int entriesAhead(QueuedEntry<T> other, boolean byObjective, long nowMillis) {
        return byObjective
                ? entriesAheadByObjective(other, nowMillis)
                : entriesAheadByLatestStart(other);
    }

    private int entriesAheadByLatestStart(QueuedEntry<T> other) {
        int entries = 0;
        for (QueuedEntry<T> waiting : mByLatestStart) {
            if (waiting.entry().latestStartMillis() > other.entry().latestStartMillis()) {
                break;
            }
            entries += waiting.equals(other) ? 0 : 1;
        }
        return entries;
    }

    private int entriesAheadByObjective(QueuedEntry<T> other, long nowMillis) {
        int entries = 0;
        for (QueuedEntry<T> waiting : mByLatestStart) {
            boolean isAhead =
                    other.isOnTime(nowMillis)
                            ? waiting.isOnTime(nowMillis)
                                    && waiting.objectiveStartMillis()
                                            <= other.objectiveStartMillis()
                            : waiting.isOnTime(nowMillis)
                                    || waiting.entry().latestStartMillis()
                                            <= other.entry().latestStartMillis();
            entries += isAhead && !waiting.equals(other) ? 1 : 0;
        }
        return entries;
    }
}
