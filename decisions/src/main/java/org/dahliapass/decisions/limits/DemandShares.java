package org.dahliapass.decisions.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Divides the limit in proportion to the demand that all VMs report to each other.
 *
 * <p>A VM uses more or less than the even share only while it has a recent report of every VM; a VM
 * that is cut off, and all others as long as they expect its reports, use the even share.
 */
final class DemandShares implements ShareSource {
    /** Allows for three lost reports in a row. */
    private static final long REPORT_EXPIRY_MILLIS = 450;

    /** The part of the limit that is divided evenly, so that new demand is served at once. */
    private static final double EVEN_PART = 0.1;

    /** The assumed demand beside the measured one, in requests per second; damps chance. */
    private static final double MIN_DEMAND = 0.5;

    private final String mSelf;
    private final ContendedCustomers mContended = new ContendedCustomers();
    private final Map<String, Map<String, Report>> mReports = new HashMap<>();
    private Set<String> mVms = Set.of();

    private record Report(double demand, long receivedMillis) {}

    DemandShares(String self) {
        mSelf = self;
    }

    @Override
    public void onVms(List<String> vms, long nowMillis) {
        mVms = new HashSet<>(vms);
    }

    @Override
    public double share(String customer, long nowMillis) {
        double even = 1.0 / Math.max(1, mVms.size());
        Map<String, Report> reports = mReports.get(customer);
        if (reports == null || !mContended.contains(customer) || !mVms.contains(mSelf)) {
            return even;
        }
        double own = mContended.use(customer, nowMillis).requestsPerSecond() + MIN_DEMAND;
        double total = own;
        for (String vm : mVms) {
            if (vm.equals(mSelf)) {
                continue;
            }
            Report report = reports.get(vm);
            if (report == null || nowMillis - report.receivedMillis() > REPORT_EXPIRY_MILLIS) {
                return even;
            }
            total += report.demand() + MIN_DEMAND;
        }
        return EVEN_PART * even + (1 - EVEN_PART) * own / total;
    }

    @Override
    public void onDemand(String customer, double demand, boolean wanted, long nowMillis) {
        mContended.onDemand(customer, demand, wanted, nowMillis);
    }

    @Override
    public List<LimitMessage> poll(long nowMillis) {
        Set<String> customers = mContended.customers(nowMillis);
        mReports.keySet().retainAll(customers);
        List<LimitMessage> messages = new ArrayList<>();
        for (String customer : customers) {
            messages.addAll(reports(customer, nowMillis));
        }
        return messages;
    }

    private List<LimitMessage> reports(String customer, long nowMillis) {
        LimitMessage.Use use = mContended.use(customer, nowMillis);
        return mVms.stream()
                .filter(vm -> !vm.equals(mSelf))
                .map(vm -> new LimitMessage(mSelf, vm, customer, use))
                .toList();
    }

    @Override
    public List<LimitMessage> onMessage(LimitMessage message, long nowMillis) {
        if (!(message.content() instanceof LimitMessage.Use use)) {
            return List.of();
        }
        boolean isNew = !mContended.contains(message.customer());
        if (use.wanted()) {
            mContended.onContended(message.customer(), nowMillis);
        }
        if (mContended.contains(message.customer())) {
            mReports.computeIfAbsent(message.customer(), unused -> new HashMap<>())
                    .put(message.sender(), new Report(use.requestsPerSecond(), nowMillis));
        }
        return isNew && use.wanted() ? reports(message.customer(), nowMillis) : List.of();
    }

    @Override
    public boolean isActive() {
        return !mContended.isEmpty();
    }
}
