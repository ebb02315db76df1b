package org.dahliapass.decisions.configuration;

import java.util.Optional;
import org.dahliapass.model.ServiceId;

/**
 * The customers whose newest changes a VM must know together.
 *
 * @param service the customers that name this service; empty for those that provide any service,
 *     which are the fleet's directory of services and cell sizes
 */
public record CustomerGroup(Optional<ServiceId> service) {
    /** The customers that provide services; every VM knows them. */
    public static final CustomerGroup PROVIDERS = new CustomerGroup(Optional.empty());

    /** Returns the customers that name a service. */
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

    /** Returns the key of the store's index of the group. */
    public StoreKey indexKey() {
        return service.map(StoreKey::customers).orElse(StoreKey.PROVIDERS);
    }
}
