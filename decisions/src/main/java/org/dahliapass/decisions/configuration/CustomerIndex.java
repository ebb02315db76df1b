package org.dahliapass.decisions.configuration;

import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The store's index of the customers whose templates may reference a service.
 *
 * <p>Written before the accept, so it is complete, but may contain customers whose accept failed. A
 * fleet that lost its state finds its templates by this index.
 *
 * @param customers the customers' names
 */
public record CustomerIndex(SortedSet<String> customers) implements MergeableItem {

    /** Creates an index with a copy of the set. */
    public CustomerIndex {
        customers = new TreeSet<>(customers);
    }

    /** Returns an index with one customer. */
    public static CustomerIndex of(String customer) {
        TreeSet<String> single = new TreeSet<>();
        single.add(customer);
        return new CustomerIndex(single);
    }

    @Override
    public CustomerIndex mergedWith(Optional<StoreItem> current) {
        if (current.isEmpty()) {
            return this;
        }
        if (!(current.get() instanceof CustomerIndex other)) {
            throw new IllegalArgumentException(
                    "The key of a customer index has a value of another type.");
        }
        TreeSet<String> all = new TreeSet<>(other.customers);
        all.addAll(customers);
        return new CustomerIndex(all);
    }
}
