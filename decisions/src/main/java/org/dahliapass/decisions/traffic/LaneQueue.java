package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The queued entries of one lane: round robin between customers, earliest latest start first within
 * a customer.
 *
 * @param <T> the caller's handle for a request
 */
final class LaneQueue<T> {
    private final Map<String, TreeSet<QueuedEntry<T>>> mByCustomer = new LinkedHashMap<>();
    private int mSize;

    void add(QueuedEntry<T> waiting) {
        mByCustomer
                .computeIfAbsent(waiting.entry().customer(), unused -> new TreeSet<>())
                .add(waiting);
        mSize++;
    }

    /** Removes an entry without changing the order of the customers. */
    void remove(QueuedEntry<T> waiting) {
        String customer = waiting.entry().customer();
        TreeSet<QueuedEntry<T>> entries = mByCustomer.get(customer);
        if (entries == null || !entries.remove(waiting)) {
            return;
        }
        mSize--;
        if (entries.isEmpty()) {
            mByCustomer.remove(customer);
        }
    }

    /** Removes an entry that is dispatched and moves its customer to the end of the order. */
    void serve(QueuedEntry<T> waiting) {
        remove(waiting);
        String customer = waiting.entry().customer();
        TreeSet<QueuedEntry<T>> rest = mByCustomer.remove(customer);
        if (rest != null) {
            mByCustomer.put(customer, rest);
        }
    }

    int size() {
        return mSize;
    }

    /** Returns the first entry of each customer, in the order of the customers. */
    List<QueuedEntry<T>> heads() {
        List<QueuedEntry<T>> heads = new ArrayList<>(mByCustomer.size());
        mByCustomer.values().forEach(entries -> heads.add(entries.first()));
        return heads;
    }

    /**
     * Counts the entries dispatched before a new one of this customer: its own with no later latest
     * start, and as many entries of each other customer as there are turns before it.
     */
    int entriesAhead(String customer, long latestStartMillis) {
        int entries = 0;
        for (QueuedEntry<T> waiting : mByCustomer.getOrDefault(customer, new TreeSet<>())) {
            if (waiting.entry().latestStartMillis() > latestStartMillis) {
                break;
            }
            entries++;
        }
        int ahead = entries;
        for (Map.Entry<String, TreeSet<QueuedEntry<T>>> other : mByCustomer.entrySet()) {
            if (!other.getKey().equals(customer)) {
                ahead += Math.min(other.getValue().size(), entries + 1);
            }
        }
        return ahead;
    }
}
