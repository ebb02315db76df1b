package org.dahliapass.decisions.configuration;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The customers whose templates may name a service.
 *
 * <p>Written before the accept, so it may name a customer whose accept never happened, but misses
 * none. It lets a fleet that was replaced all at once find its templates again.
 *
 * @param customers the customers' names
 */
public record CustomerIndex(SortedSet<String> customers) implements MergeableItem {

    /** Copies the set. */
    public CustomerIndex {
        customers = new TreeSet<>(customers);
    }

    /** Returns the index that names just this customer. */
    public static CustomerIndex of(String customer) {
        TreeSet<String> one = new TreeSet<>();
        one.add(customer);
        return new CustomerIndex(one);
    }

    @Override
    public CustomerIndex mergedWith(Optional<StoreItem> standing) {
        if (standing.isEmpty()) {
            return this;
        }
        if (!(standing.get() instanceof CustomerIndex other)) {
            throw new IllegalArgumentException("An index's key holds another kind of value.");
        }
        TreeSet<String> all = new TreeSet<>(other.customers);
        all.addAll(customers);
        return new CustomerIndex(all);
    }
}
