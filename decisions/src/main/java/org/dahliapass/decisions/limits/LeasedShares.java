package org.dahliapass.decisions.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Leases shares from the VM that coordinates a customer, found by rendezvous hashing.
 *
 * <p>A coordinator divides only the even shares of the VMs that report to it, so two coordinators
 * with different views don't grant the same share twice. A VM without a lease uses the even share.
 */
final class LeasedShares implements ShareSource {
    /** The duration of a lease as counted by its coordinator. */
    private static final long LEASE_MILLIS = 600;

    /** The time by which a VM ends a lease earlier than its coordinator counts it. */
    private static final long LEASE_MARGIN_MILLIS = 150;

    /** The interval at which a coordinator asks VMs for their demand. */
    private static final long POLL_INTERVAL_MILLIS = 300;

    /** The part of the limit that is divided evenly, so that new demand is served at once. */
    private static final double EVEN_PART = 0.1;

    /** The assumed demand beside the measured one, in requests per second; damps chance. */
    private static final double MIN_DEMAND = 0.5;

    private final String mSelf;
    private final ContendedCustomers mContended = new ContendedCustomers();
    private final Map<String, Lease> mLeases = new HashMap<>();
    private final Map<String, Coordination> mCoordinations = new HashMap<>();
    private List<String> mVms = List.of();

    private record Lease(double share, long endMillis) {}

    private record Report(double demand, double leased, long receivedMillis) {}

    private static final class Coordination {
        private final Map<String, Report> mReports = new HashMap<>();
        private long mWantedMillis = Long.MIN_VALUE / 2;
        private long mPolledMillis = Long.MIN_VALUE / 2;
    }

    LeasedShares(String self) {
        mSelf = self;
    }

    @Override
    public void onVms(List<String> vms, long nowMillis) {
        mVms = List.copyOf(vms);
    }

    @Override
    public double share(String customer, long nowMillis) {
        Lease lease = mLeases.get(customer);
        return lease != null && nowMillis < lease.endMillis()
                ? lease.share()
                : 1.0 / Math.max(1, mVms.size());
    }

    @Override
    public void onDemand(String customer, double demand, boolean wanted, long nowMillis) {
        mContended.onDemand(customer, demand, wanted, nowMillis);
    }

    @Override
    public List<LimitMessage> poll(long nowMillis) {
        Set<String> customers = mContended.customers(nowMillis);
        mLeases.keySet().retainAll(customers);
        List<LimitMessage> messages = new ArrayList<>();
        for (String customer : customers) {
            messages.addAll(report(customer, nowMillis));
        }
        mCoordinations
                .values()
                .removeIf(
                        coordination ->
                                nowMillis - coordination.mWantedMillis
                                        > ContendedCustomers.RETENTION_MILLIS);
        mCoordinations.forEach(
                (customer, coordination) ->
                        messages.addAll(pollSilent(customer, coordination, nowMillis)));
        return messages;
    }

    private List<LimitMessage> report(String customer, long nowMillis) {
        String coordinator = coordinator(customer);
        if (coordinator.isEmpty()) {
            return List.of();
        }
        LimitMessage report =
                new LimitMessage(mSelf, coordinator, customer, mContended.use(customer, nowMillis));
        if (!coordinator.equals(mSelf)) {
            return List.of(report);
        }
        for (LimitMessage reply : onMessage(report, nowMillis)) {
            onMessage(reply, nowMillis);
        }
        return List.of();
    }

    private String coordinator(String customer) {
        return mVms.stream().max(Comparator.comparingLong(vm -> weight(vm, customer))).orElse("");
    }

    private static long weight(String vm, String customer) {
        long hash = (vm.hashCode() * 31L + customer.hashCode()) * 0x9E3779B97F4A7C15L;
        return (hash ^ (hash >>> 32)) * 0xBF58476D1CE4E5B9L;
    }

    private List<LimitMessage> pollSilent(
            String customer, Coordination coordination, long nowMillis) {
        if (nowMillis - coordination.mPolledMillis < POLL_INTERVAL_MILLIS) {
            return List.of();
        }
        coordination.mPolledMillis = nowMillis;
        return mVms.stream()
                .filter(vm -> !vm.equals(mSelf))
                .map(vm -> new LimitMessage(mSelf, vm, customer, new LimitMessage.Poll()))
                .toList();
    }

    private static boolean isReporting(Report report, long nowMillis) {
        return report != null && nowMillis - report.receivedMillis() <= LEASE_MILLIS;
    }

    @Override
    public List<LimitMessage> onMessage(LimitMessage message, long nowMillis) {
        if (message.content() instanceof LimitMessage.Use use) {
            return grant(message, use, nowMillis);
        }
        if (message.content() instanceof LimitMessage.Poll) {
            mContended.onContended(message.customer(), nowMillis);
            return report(message.customer(), nowMillis);
        }
        if (message.content() instanceof LimitMessage.Lease lease) {
            long endMillis = nowMillis + LEASE_MILLIS - LEASE_MARGIN_MILLIS;
            mLeases.put(message.customer(), new Lease(lease.share(), endMillis));
        }
        return List.of();
    }

    private List<LimitMessage> grant(LimitMessage message, LimitMessage.Use use, long nowMillis) {
        if (!mVms.contains(message.sender())) {
            return List.of();
        }
        Coordination coordination =
                mCoordinations.computeIfAbsent(message.customer(), unused -> new Coordination());
        if (use.wanted()) {
            coordination.mWantedMillis = nowMillis;
        }
        Map<String, Report> reports = coordination.mReports;
        reports.values().removeIf(report -> !isReporting(report, nowMillis));
        double even = 1.0 / mVms.size();
        Report previous = reports.get(message.sender());
        double own = use.requestsPerSecond() + MIN_DEMAND;
        double total = own;
        double leasedToOthers = 0;
        for (Map.Entry<String, Report> other : reports.entrySet()) {
            if (!other.getKey().equals(message.sender())) {
                total += other.getValue().demand() + MIN_DEMAND;
                leasedToOthers += other.getValue().leased();
            }
        }
        int reporting = reports.size() + (previous == null ? 1 : 0);
        double pool = reporting * even;
        double target = EVEN_PART * even + (pool - EVEN_PART * pool) * own / total;
        double share = Math.max(0, Math.min(target, pool - leasedToOthers));
        reports.put(message.sender(), new Report(use.requestsPerSecond(), share, nowMillis));
        return List.of(
                new LimitMessage(
                        mSelf,
                        message.sender(),
                        message.customer(),
                        new LimitMessage.Lease(share)));
    }

    @Override
    public boolean isActive() {
        return !mContended.isEmpty() || !mCoordinations.isEmpty();
    }
}
