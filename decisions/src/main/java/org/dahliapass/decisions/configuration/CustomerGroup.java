package org.dahliapass.decisions.configuration;

import java.util.Optional;
import org.dahliapass.model.ServiceId;

/**
 * A group of customers whose newest changes a VM fetches together.
 *
 * @param service the service that the customers reference; empty for all customers that provide a
 *     service, which form the fleet's service directory
 */
public record CustomerGroup(Optional<ServiceId> service) {
    /** The customers that provide services; every VM needs this group. */
    public static final CustomerGroup PROVIDERS = new CustomerGroup(Optional.empty());

    /** Returns the group of the customers that reference a service. */
    public static CustomerGroup of(ServiceId service) {
        return new CustomerGroup(Optional.of(service));
    }

    /** Returns whether a customer with this newest change belongs to the group. */
    public boolean contains(ChangeRecord record) {
        if (service.isEmpty()) {
            return record.provides();
        }
        return record.services().stream().anyMatch(use -> use.service().equals(service.get()));
    }

    /** Returns the store key of the group's index. */
    public StoreKey indexKey() {
        return service.map(StoreKey::customers).orElse(StoreKey.PROVIDERS);
    }
}
