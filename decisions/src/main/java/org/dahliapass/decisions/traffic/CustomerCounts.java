package org.dahliapass.decisions.traffic;

import java.util.HashMap;
import java.util.Map;

/** A counter per customer; customers at zero are not stored. */
final class CustomerCounts {
    private final Map<String, Integer> mCounts = new HashMap<>();

    void increment(String customer) {
        mCounts.merge(customer, 1, Integer::sum);
    }

    void decrement(String customer) {
        mCounts.computeIfPresent(customer, (unused, count) -> count == 1 ? null : count - 1);
    }

    int count(String customer) {
        return mCounts.getOrDefault(customer, 0);
    }
}
