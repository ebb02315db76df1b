package org.dahliapass.decisions.traffic;

import org.dahliapass.model.ServiceTemplate;

/**
 * The limits of an admission queue.
 *
 * @param capacity the maximum number of queued entries
 * @param capacityPerCustomer the maximum number of queued entries of one customer
 * @param bulkyPerCustomer the maximum number of one customer's bulky requests in flight on this VM
 */
public record QueueLimits(int capacity, int capacityPerCustomer, int bulkyPerCustomer) {
    private static final int ENTRIES_PER_SLOT = 16;
    private static final int MIN_CAPACITY = 64;

    /** Returns the limits for one VM of a service's cell, derived from its share of the slots. */
    public static QueueLimits forService(ServiceTemplate service) {
        int slots = service.targets().size() * service.slotsPerTarget();
        int slotsPerVm = Math.max(1, slots / Math.max(1, service.cellSize()));
        int capacity = Math.max(MIN_CAPACITY, ENTRIES_PER_SLOT * slotsPerVm);
        int bulkySlots = (int) (slotsPerVm * LoadBalancer.bulkyShare(service.kinds()));
        return new QueueLimits(capacity, capacity / 2, Math.max(1, bulkySlots / 2));
    }
}
