package org.dahliapass.decisions.traffic;

/**
 * An entry in a queue; ordered by when it must start, then by arrival in the queue.
 *
 * @param entry the entry
 * @param sequence grows with each entry of the queue
 * @param <T> what the caller needs to go on with the request
 */
record QueuedEntry<T>(QueueEntry<T> entry, long sequence) implements Comparable<QueuedEntry<T>> {
    @Override
    public int compareTo(QueuedEntry<T> other) {
        int byStart = Long.compare(entry.latestStartMillis(), other.entry.latestStartMillis());
        return byStart != 0 ? byStart : Long.compare(sequence, other.sequence);
    }
}
