package org.dahliapass.decisions.traffic;

import java.util.Comparator;

/**
 * An entry in a queue, ordered by its latest start, then by its arrival in the queue.
 *
 * @param entry the entry
 * @param sequence the position in the order of arrival
 * @param objectiveStartMillis the time by which it must start to meet its objective, in
 *     milliseconds
 * @param <T> the caller's handle for the request
 */
record QueuedEntry<T>(QueueEntry<T> entry, long sequence, long objectiveStartMillis)
        implements Comparable<QueuedEntry<T>> {
    @Override
    public int compareTo(QueuedEntry<T> other) {
        int byStart = Long.compare(entry.latestStartMillis(), other.entry.latestStartMillis());
        return byStart != 0 ? byStart : Long.compare(sequence, other.sequence);
    }

    /** Returns whether the entry meets its objective if it starts now. */
    boolean isOnTime(long nowMillis) {
        return objectiveStartMillis > nowMillis;
    }

    /** Orders entries by the start that meets their objective, then by their arrival. */
    static <T> Comparator<QueuedEntry<T>> byObjective() {
        return Comparator.<QueuedEntry<T>>comparingLong(QueuedEntry::objectiveStartMillis)
                .thenComparingLong(QueuedEntry::sequence);
    }
}
