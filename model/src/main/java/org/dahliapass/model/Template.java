package org.dahliapass.model;

import java.util.List;
import java.util.Optional;

/**
 * All that operators say for one customer.
 *
 * @param customer the customer's name
 * @param services the services that this customer provides or uses
 */
public record Template(String customer, List<ServiceTemplate> services) {

    /** Copies the list. */
    public Template {
        services = List.copyOf(services);
    }

    /** Returns the service of this name if the template has it. */
    public Optional<ServiceTemplate> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }
}
