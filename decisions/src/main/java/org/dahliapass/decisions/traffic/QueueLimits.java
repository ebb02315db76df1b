package org.dahliapass.decisions.traffic;

import org.dahliapass.model.ServiceTemplate;

/**
 * How much may wait.
 *
 * @param capacity the most entries in a queue
 * @param capacityPerCustomer the most entries of one customer, so that a flood fills only its own
 *     part
 * @param bulkyPerCustomer the most bulky requests of one customer in flight on this VM
 */
public record QueueLimits(int capacity, int capacityPerCustomer, int bulkyPerCustomer) {
    private static final int ENTRIES_PER_SLOT = 16;
    private static final int LEAST_CAPACITY = 64;

    /** Returns the limits for one VM of a service's cell, from the slots that fall to it. */
    public static QueueLimits forService(ServiceTemplate service) {
        int slots = service.targets().size() * service.slotsPerTarget();
        int slotsPerVm = Math.max(1, slots / Math.max(1, service.cellSize()));
        int capacity = Math.max(LEAST_CAPACITY, ENTRIES_PER_SLOT * slotsPerVm);
        int bulkySlots = (int) (slotsPerVm * LoadBalancer.bulkyShare(service.kinds()));
        return new QueueLimits(capacity, capacity / 2, Math.max(1, bulkySlots / 2));
    }
}
