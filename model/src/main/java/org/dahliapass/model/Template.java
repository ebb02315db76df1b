package org.dahliapass.model;

import java.util.List;
import java.util.Optional;

/**
 * The settings of one customer.
 *
 * @param customer the customer's name
 * @param services the services that this customer provides or uses
 */
public record Template(String customer, List<ServiceTemplate> services) {

    /** Creates a template with an immutable copy of the services. */
    public Template {
        services = List.copyOf(services);
    }

    /** Returns the service with a name; empty if the template has none. */
    public Optional<ServiceTemplate> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }
}
