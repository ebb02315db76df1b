package org.dahliapass.model.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * An immutable lookup of customers by the digests of their keys.
 *
 * <p>Uses sorted arrays, because a map of 340,000 keys would need several times their memory.
 */
public final class CustomerKeys {
    private static final CustomerKeys NONE = new CustomerKeys(List.of(), false);

    private final boolean mRequired;
    private final long[] mHighs;
    private final long[] mLows;
    private final Customer[] mCustomers;

    /** The customers with a priority, by name; created by the first lookup that needs them. */
    private volatile Customer[] mPrioritized;

    /**
     * A key of a customer.
     *
     * @param digest the digest of the key
     * @param customer the customer that holds it
     */
    public record Entry(KeyDigest digest, Customer customer) {}

    private CustomerKeys(List<Entry> entries, boolean required) {
        mRequired = required;
        List<Entry> sorted = new ArrayList<>(entries);
        sorted.sort((first, second) -> first.digest().compareTo(second.digest()));
        mHighs = new long[sorted.size()];
        mLows = new long[sorted.size()];
        mCustomers = new Customer[sorted.size()];
        for (int index = 0; index < sorted.size(); index++) {
            mHighs[index] = sorted.get(index).digest().high();
            mLows[index] = sorted.get(index).digest().low();
            mCustomers[index] = sorted.get(index).customer();
        }
    }

    /** Returns the lookup of a deployment without customers, whose requests need no key. */
    public static CustomerKeys notRequired() {
        return NONE;
    }

    /** Returns a lookup of all keys; requests need one of them, also if there are none. */
    public static CustomerKeys required(List<Entry> entries) {
        return new CustomerKeys(entries, true);
    }

    /** Returns whether requests need a key. */
    public boolean areRequired() {
        return mRequired;
    }

    /** Returns the number of keys. */
    public int size() {
        return mCustomers.length;
    }

    /** Returns the customer that holds a key; empty if none does. */
    public Optional<Customer> find(KeyDigest digest) {
        int low = 0;
        int high = mCustomers.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = new KeyDigest(mHighs[middle], mLows[middle]).compareTo(digest);
            if (order == 0) {
                return Optional.of(mCustomers[middle]);
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return Optional.empty();
    }

    /** Returns the priority of the customer of a name; empty if it has none or isn't known. */
    public OptionalInt priorityOf(String name) {
        Customer[] prioritized = mPrioritized;
        if (prioritized == null) {
            prioritized =
                    Arrays.stream(mCustomers)
                            .filter(customer -> customer.priority().isPresent())
                            .sorted(Comparator.comparing(Customer::name))
                            .toArray(Customer[]::new);
            mPrioritized = prioritized;
        }
        int low = 0;
        int high = prioritized.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = prioritized[middle].name().compareTo(name);
            if (order == 0) {
                return prioritized[middle].priority();
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return OptionalInt.empty();
    }
}
