package org.dahliapass.decisions.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Predicate;

/**
 * The requests for a service that wait at other VMs, by level of priority, as far as this VM knows
 * the priorities of their customers.
 *
 * <p>Not thread-safe; guarded by the service's lock. A call is O(customers that wait).
 */
public final class WaitingElsewhere {
    /** The maximum number of counts of all VMs together. */
    static final int MAX_COUNTS = 1_024;

    /** Reports of this age or more don't count, in milliseconds. */
    static final long MAX_AGE_MILLIS = 500;

    private final AdmissionOrder mOrder;
    private final Map<String, Report> mReports = new HashMap<>();
    private CustomerPriorities mPriorities = CustomerPriorities.NONE;

    /**
     * Creates a structure that knows of no waiting requests.
     *
     * @param order assigns the levels to the priorities
     */
    public WaitingElsewhere(AdmissionOrder order) {
        mOrder = order;
    }

    /** Sets the priorities of customers, for reports that are received from now on. */
    public void setPriorities(CustomerPriorities priorities) {
        mPriorities = priorities;
    }

    /**
     * Records a report of another VM, which replaces its previous one.
     *
     * @param vm the VM
     * @param counts its counts
     * @param nowMillis the current time, in milliseconds
     */
    public void onPeerReport(String vm, List<CustomerCount> counts, long nowMillis) {
        mReports.remove(vm);
        mReports.values().removeIf(report -> !report.isRecent(nowMillis));
        int room =
                MAX_COUNTS
                        - mReports.values().stream()
                                .mapToInt(report -> report.waiting().size())
                                .sum();
        List<Waiting> waiting = new ArrayList<>();
        int reported = Math.min(CustomerUse.MAX_REPORTED, counts.size());
        for (CustomerCount count : counts.subList(0, reported)) {
            OptionalInt priority = mPriorities.priority(count.customer());
            if (count.waiting() > 0 && priority.isPresent() && waiting.size() < room) {
                waiting.add(
                        new Waiting(
                                count.customer(),
                                mOrder.level(priority.getAsInt()),
                                Math.min(CustomerUse.MAX_COUNT, count.waiting())));
            }
        }
        if (!waiting.isEmpty()) {
            mReports.put(vm, new Report(List.copyOf(waiting), nowMillis));
        }
    }

    /** Returns the number of requests that wait at other VMs on higher levels than this one. */
    public int aboveLevel(int level, long nowMillis) {
        return count(waiting -> waiting.level() < level, nowMillis);
    }

    /**
     * Returns the number of requests of a level that wait at other VMs and whose customers hold
     * less than a customer of this VM.
     *
     * @param level the level
     * @param held what each customer holds
     * @param customer the customer of this VM
     * @param nowMillis the current time, in milliseconds
     */
    public int ofSmallerCustomers(int level, HeldRequests held, String customer, long nowMillis) {
        if (mReports.isEmpty()) {
            return 0;
        }
        double ownHeld = held.held(customer, nowMillis);
        return count(
                waiting ->
                        waiting.level() == level
                                && held.held(waiting.customer(), nowMillis) < ownHeld,
                nowMillis);
    }

    private int count(Predicate<Waiting> counted, long nowMillis) {
        int count = 0;
        for (Report report : mReports.values()) {
            if (report.isRecent(nowMillis)) {
                for (Waiting waiting : report.waiting()) {
                    count += counted.test(waiting) ? waiting.count() : 0;
                }
            }
        }
        return count;
    }

    private record Waiting(String customer, int level, int count) {}

    private record Report(List<Waiting> waiting, long atMillis) {
        private boolean isRecent(long nowMillis) {
            return nowMillis - atMillis < MAX_AGE_MILLIS;
        }
    }
}
