package org.dahliapass.decisions.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * This VM's demand of the customers that need more than an even share at some VM; customers far
 * below their limit have no entry.
 */
final class ContendedCustomers {
    /** How long a customer stays contended after a VM last wanted more or asked for the use. */
    static final long RETENTION_MILLIS = 1_000;

    private static final LimitMessage.Use NO_USE = new LimitMessage.Use(0, false, 0, 0, 0);

    private final Map<String, Entry> mEntries = new HashMap<>();

    /** Records a request; creates the entry if the VM wants more than its share. */
    void onDemand(String customer, double demand, boolean wanted, long nowMillis) {
        Entry entry = wanted ? create(customer) : mEntries.get(customer);
        if (entry == null) {
            return;
        }
        entry.mDemand = demand;
        entry.mDemandMillis = nowMillis;
        if (wanted) {
            entry.mWantedMillis = nowMillis;
            entry.mContendedMillis = nowMillis;
        }
    }

    /** Records that another VM wants more or asked for the use. */
    void onContended(String customer, long nowMillis) {
        create(customer).mContendedMillis = nowMillis;
    }

    private Entry create(String customer) {
        return mEntries.computeIfAbsent(customer, unused -> new Entry());
    }

    /** Returns the contended customers, without those whose retention is over. */
    Set<String> customers(long nowMillis) {
        mEntries.values().removeIf(entry -> nowMillis - entry.mContendedMillis > RETENTION_MILLIS);
        return mEntries.keySet();
    }

    boolean contains(String customer) {
        return mEntries.containsKey(customer);
    }

    /** Returns this VM's use for a report; the demand decays while there is no request. */
    LimitMessage.Use use(String customer, long nowMillis) {
        Entry entry = mEntries.get(customer);
        if (entry == null) {
            return NO_USE;
        }
        double demand =
                entry.mDemand
                        * Math.exp((entry.mDemandMillis - nowMillis) / (double) RETENTION_MILLIS);
        boolean wanted = nowMillis - entry.mWantedMillis <= RETENTION_MILLIS;
        return new LimitMessage.Use(demand, wanted, 0, 0, 0);
    }

    boolean isEmpty() {
        return mEntries.isEmpty();
    }

    private static final class Entry {
        private double mDemand;
        private long mDemandMillis;
        private long mWantedMillis = Long.MIN_VALUE / 2;
        private long mContendedMillis = Long.MIN_VALUE / 2;
    }
}
