package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.decisions.admission.HeldRequests;

/**
 * The queued entries of one lane: first the customer that holds the least, round robin between
 * customers that hold the same.
 *
 * @param <T> the caller's handle for a request
 */
final class LaneQueue<T> {
    private final Map<String, CustomerEntries<T>> mByCustomer = new LinkedHashMap<>();
    private int mSize;

    void add(QueuedEntry<T> waiting) {
        mByCustomer
                .computeIfAbsent(waiting.entry().customer(), unused -> new CustomerEntries<>())
                .add(waiting);
        mSize++;
    }

    /** Removes an entry without changing the order of the customers. */
    void remove(QueuedEntry<T> waiting) {
        String customer = waiting.entry().customer();
        CustomerEntries<T> entries = mByCustomer.get(customer);
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
        CustomerEntries<T> rest = mByCustomer.remove(customer);
        if (rest != null) {
            mByCustomer.put(customer, rest);
        }
    }

    int size() {
        return mSize;
    }

    /**
     * Returns the first entry of each customer, in the order of the customers.
     *
     * @param held what a customer holds
     * @param byObjective whether entries that can still meet their objective come first
     */
    List<QueuedEntry<T>> heads(HeldRequests held, boolean byObjective, long nowMillis) {
        List<Head<T>> heads = new ArrayList<>(mByCustomer.size());
        mByCustomer.forEach(
                (customer, entries) ->
                        heads.add(
                                new Head<>(
                                        held.held(customer, nowMillis),
                                        entries.first(byObjective, nowMillis))));
        heads.sort((first, second) -> Double.compare(first.held(), second.held()));
        return heads.stream().map(Head::waiting).toList();
    }

    /**
     * Returns the entry that is dispatched last: of the customer that holds the most, the one with
     * the latest start; there must be one.
     */
    QueuedEntry<T> last(HeldRequests held, long nowMillis) {
        String last = null;
        double most = 0;
        for (String customer : mByCustomer.keySet()) {
            double holds = held.held(customer, nowMillis);
            if (last == null || holds >= most) {
                last = customer;
                most = holds;
            }
        }
        return mByCustomer.get(last).last();
    }

    /** Returns the last entry of a customer; null if it has none. */
    QueuedEntry<T> lastOf(String customer) {
        CustomerEntries<T> entries = mByCustomer.get(customer);
        return entries == null ? null : entries.last();
    }

    /**
     * Counts the entries dispatched before one of a customer: its own ahead of it, and as many
     * entries of each other customer as there are turns before it. A customer that holds less has
     * as many turns more.
     *
     * @param waiting the entry, in this lane or not
     * @param byObjective whether entries that can still meet their objective come first
     */
    int entriesAhead(
            QueuedEntry<T> waiting, HeldRequests held, boolean byObjective, long nowMillis) {
        String customer = waiting.entry().customer();
        CustomerEntries<T> own = mByCustomer.get(customer);
        int entries = own == null ? 0 : own.entriesAhead(waiting, byObjective, nowMillis);
        double holds = held.held(customer, nowMillis);
        int ahead = entries;
        for (Map.Entry<String, CustomerEntries<T>> other : mByCustomer.entrySet()) {
            if (!other.getKey().equals(customer)) {
                double turns =
                        Math.ceil(entries + 1 + holds - held.held(other.getKey(), nowMillis));
                ahead += (int) Math.max(0, Math.min(other.getValue().size(), turns));
            }
        }
        return ahead;
    }

    /** The first entry of a customer, and what the customer holds. */
    private record Head<T>(double held, QueuedEntry<T> waiting) {}
}
