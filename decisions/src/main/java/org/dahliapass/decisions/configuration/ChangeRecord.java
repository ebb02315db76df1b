package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * One accepted change of one customer's template.
 *
 * @param number its place in the fleet-wide order, from 1
 * @param customer the customer
 * @param digest the digest of the text, see {@link TemplateText#digest()}
 * @param services the services that the template names
 * @param operationId names the accept, so that a lost answer can be resolved
 * @param author the operator
 * @param baseNumber the customer's change that the author started from; 0 for none
 */
public record ChangeRecord(
        long number,
        String customer,
        String digest,
        List<ServiceUse> services,
        String operationId,
        String author,
        long baseNumber) {

    /** Copies the list. */
    public ChangeRecord {
        services = List.copyOf(services);
    }

    /** Returns whether this customer lists the targets of one of the services. */
    public boolean provides() {
        return services.stream().anyMatch(use -> use.service().provider().equals(customer));
    }
}
