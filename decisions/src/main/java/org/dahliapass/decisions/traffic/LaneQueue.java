package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The entries of one lane: customers take turns, and a customer's entries go by when they must
 * start.
 *
 * @param <T> what the caller needs to go on with a request
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

    /** Takes an entry out without a change in the customers' turns. */
    void remove(QueuedEntry<T> waiting) {
        String customer = waiting.entry().customer();
        TreeSet<QueuedEntry<T>> own = mByCustomer.get(customer);
        if (own == null || !own.remove(waiting)) {
            return;
        }
        mSize--;
        if (own.isEmpty()) {
            mByCustomer.remove(customer);
        }
    }

    /** Takes out an entry that is served: its customer's next turn comes after all others'. */
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

    /** Returns the first entry of each customer, in the order of their turns. */
    List<QueuedEntry<T>> heads() {
        List<QueuedEntry<T>> heads = new ArrayList<>(mByCustomer.size());
        mByCustomer.values().forEach(own -> heads.add(own.first()));
        return heads;
    }

    /**
     * Counts the entries that are served before a new one of this customer: its own that must start
     * no later, and as many of each other customer, one for each turn.
     */
    int entriesAhead(String customer, long latestStartMillis) {
        int own = 0;
        for (QueuedEntry<T> waiting : mByCustomer.getOrDefault(customer, new TreeSet<>())) {
            if (waiting.entry().latestStartMillis() > latestStartMillis) {
                break;
            }
            own++;
        }
        int ahead = own;
        for (Map.Entry<String, TreeSet<QueuedEntry<T>>> other : mByCustomer.entrySet()) {
            if (!other.getKey().equals(customer)) {
                ahead += Math.min(other.getValue().size(), own + 1);
            }
        }
        return ahead;
    }
}
