package org.dahliapass.decisions.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The requests that customers have in flight at the targets of a service: exactly for this VM, and
 * by their reports for the other VMs.
 *
 * <p>A VM reports only customers under contention, so without contention nothing is sent and
 * nothing is known of the other VMs. A VM that receives no reports uses its own counts.
 *
 * <p>Not thread-safe; guarded by the service's lock.
 */
public final class CustomerUse {
    /** The maximum number of customers for which other VMs' reports are kept. */
    static final int MAX_CUSTOMERS = 1_024;

    /** The maximum number of customers in a report; more would not fit beside the targets. */
    static final int MAX_REPORTED = 32;

    /** The maximum number that is accepted from a report. */
    static final int MAX_COUNT = 100_000;

    /** About the time for which a reported request stays in flight. */
    private static final long HALF_LIFE_MILLIS = 500;

    /** The age at which a report is dropped, in milliseconds; four half-lives. */
    private static final long MAX_AGE_MILLIS = 2_000;

    /** The time for which a customer is reported after its last request waited. */
    private static final long CONTENTION_MILLIS = 1_000;

    private final Map<String, OwnCount> mOwn = new HashMap<>();
    private final Map<String, Map<String, PeerCount>> mPeers = new HashMap<>();
    private int mWaitingCustomers;
    private long mLastEvictionMillis = Long.MIN_VALUE / 2;

    /** Records that a request of a customer waits for a slot. */
    public void onQueued(String customer) {
        OwnCount own = own(customer);
        own.mWaiting++;
        own.mWaitedSinceUpdate = true;
        mWaitingCustomers += own.mWaiting == 1 ? 1 : 0;
    }

    /** Records that a request of a customer no longer waits, whatever became of it. */
    public void onDequeued(String customer) {
        OwnCount own = own(customer);
        own.mWaiting--;
        mWaitingCustomers -= own.mWaiting == 0 ? 1 : 0;
    }

    /** Records that an attempt of a customer has got a slot; also a retry or a hedge. */
    public void onStarted(String customer) {
        own(customer).mInFlight++;
    }

    /** Records that an attempt of a customer has released its slot. */
    public void onEnded(String customer) {
        OwnCount own = own(customer);
        own.mInFlight--;
        if (own.isIdle() && !own.isContended()) {
            mOwn.remove(customer);
        }
    }

    private OwnCount own(String customer) {
        return mOwn.computeIfAbsent(customer, unused -> new OwnCount());
    }

    /** Returns the number of requests of a customer that wait at this VM. */
    public int waiting(String customer) {
        OwnCount own = mOwn.get(customer);
        return own == null ? 0 : own.mWaiting;
    }

    /** Returns the number of customers with requests that wait at this VM. */
    public int waitingCustomers() {
        return mWaitingCustomers;
    }

    /**
     * Estimates the number of requests that a customer has in flight at all VMs.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public double held(String customer, long nowMillis) {
        OwnCount own = mOwn.get(customer);
        double held = own == null ? 0 : own.mInFlight;
        for (PeerCount peer : mPeers.getOrDefault(customer, Map.of()).values()) {
            held += peer.weighted(nowMillis);
        }
        return held;
    }

    /**
     * Returns this VM's counts for the other VMs: of the customers with a request that waits or
     * waited in the last second, those with the most requests.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public List<CustomerCount> report(long nowMillis) {
        evict(nowMillis);
        List<CustomerCount> counts = new ArrayList<>();
        mOwn.forEach(
                (customer, own) -> {
                    if (own.isContended()) {
                        counts.add(new CustomerCount(customer, own.mInFlight, own.mWaiting));
                    }
                });
        counts.sort(
                Comparator.comparingInt(CustomerCount::inFlight)
                        .thenComparingInt(CustomerCount::waiting)
                        .reversed()
                        .thenComparing(CustomerCount::customer));
        return List.copyOf(counts.subList(0, Math.min(MAX_REPORTED, counts.size())));
    }

    /**
     * Records a report of another VM. Customers that it doesn't name aren't under contention there;
     * their last counts decay.
     *
     * @param vm the VM
     * @param counts its counts
     * @param nowMillis the current time, in milliseconds
     */
    public void onPeerReport(String vm, List<CustomerCount> counts, long nowMillis) {
        onTick(nowMillis);
        for (CustomerCount count : counts.subList(0, Math.min(MAX_REPORTED, counts.size()))) {
            if (mPeers.size() < MAX_CUSTOMERS || mPeers.containsKey(count.customer())) {
                int inFlight = Math.max(0, Math.min(MAX_COUNT, count.inFlight()));
                mPeers.computeIfAbsent(count.customer(), unused -> new HashMap<>())
                        .put(vm, new PeerCount(inFlight, nowMillis));
            }
        }
    }

    /**
     * Returns the customers that hold most at all VMs, as far as this VM knows, the largest first.
     *
     * @param limit the maximum number of customers
     * @param nowMillis the current time, in milliseconds
     */
    public List<String> largest(int limit, long nowMillis) {
        Set<String> customers = new HashSet<>(mOwn.keySet());
        customers.addAll(mPeers.keySet());
        Map<String, Double> held = new HashMap<>();
        customers.forEach(customer -> held.put(customer, held(customer, nowMillis)));
        return customers.stream()
                .filter(customer -> held.get(customer) > 0)
                .sorted(
                        Comparator.<String>comparingDouble(held::get)
                                .reversed()
                                .thenComparing(Comparator.naturalOrder()))
                .limit(limit)
                .toList();
    }

    /** Returns the number of customers of which anything is kept. */
    int size() {
        Set<String> customers = new HashSet<>(mOwn.keySet());
        customers.addAll(mPeers.keySet());
        return customers.size();
    }

    /** Drops what has expired; call it now and then. */
    public void onTick(long nowMillis) {
        if (nowMillis - mLastEvictionMillis >= HALF_LIFE_MILLIS) {
            evict(nowMillis);
        }
    }

    private void evict(long nowMillis) {
        mLastEvictionMillis = nowMillis;
        mOwn.values().forEach(own -> own.updateContention(nowMillis));
        mOwn.values().removeIf(own -> own.isIdle() && !own.isContended());
        mPeers.values()
                .forEach(
                        counts ->
                                counts.values().removeIf(count -> count.weighted(nowMillis) == 0));
        mPeers.values().removeIf(Map::isEmpty);
        if (mOwn.size() > MAX_CUSTOMERS) {
            mOwn.values().removeIf(OwnCount::isIdle);
        }
    }

    /** The counts of one customer at this VM. */
    private static final class OwnCount {
        private int mInFlight;
        private int mWaiting;
        private boolean mWaitedSinceUpdate;
        private long mContentionEndMillis = Long.MIN_VALUE;

        private void updateContention(long nowMillis) {
            if (mWaiting > 0 || mWaitedSinceUpdate) {
                mContentionEndMillis = nowMillis + CONTENTION_MILLIS;
            } else if (mContentionEndMillis <= nowMillis) {
                mContentionEndMillis = Long.MIN_VALUE;
            }
            mWaitedSinceUpdate = false;
        }

        private boolean isContended() {
            return mWaitedSinceUpdate || mContentionEndMillis != Long.MIN_VALUE;
        }

        private boolean isIdle() {
            return mInFlight == 0 && mWaiting == 0;
        }
    }

    /** A count of another VM, which loses half its weight in each half-life. */
    private record PeerCount(int inFlight, long atMillis) {
        private double weighted(long nowMillis) {
            long ageMillis = Math.max(0, nowMillis - atMillis);
            return ageMillis >= MAX_AGE_MILLIS
                    ? 0
                    : Math.scalb((double) inFlight, (int) -(ageMillis / HALF_LIFE_MILLIS));
        }
    }
}
