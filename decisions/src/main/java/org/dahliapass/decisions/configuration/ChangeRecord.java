package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * An accepted change of a customer's template.
 *
 * @param number its position in the fleet-wide log, from 1
 * @param digest the digest of the text, see {@link TemplateText#digest()}
 * @param services the services that the template references
 * @param operationId the unique ID of the accept operation, to resolve an unknown outcome
 * @param author the operator
 * @param baseNumber number of the customer's change that this one is based on; 0 for none
 */
public record ChangeRecord(
        long number,
        String customer,
        String digest,
        List<ServiceUse> services,
        String operationId,
        String author,
        long baseNumber) {

    /** Creates a record with a copy of the list. */
    public ChangeRecord {
        services = List.copyOf(services);
    }

    /** Returns whether the customer provides one of the services. */
    public boolean provides() {
        return services.stream().anyMatch(use -> use.service().provider().equals(customer));
    }
}
