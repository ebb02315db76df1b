package org.dahliapass.decisions.traffic;

/**
 * An entry in a queue, ordered by its latest start, then by its arrival in the queue.
 *
 * @param entry the entry
 * @param sequence the position in the order of arrival
 * @param <T> the caller's handle for the request
 */
record QueuedEntry<T>(QueueEntry<T> entry, long sequence) implements Comparable<QueuedEntry<T>> {
    @Override
    public int compareTo(QueuedEntry<T> other) {
        int byStart = Long.compare(entry.latestStartMillis(), other.entry.latestStartMillis());
        return byStart != 0 ? byStart : Long.compare(sequence, other.sequence);
    }
}
