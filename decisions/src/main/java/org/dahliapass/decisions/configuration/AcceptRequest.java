package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * An operator's request to accept a template with a validated text.
 *
 * @param services the services that the template references
 * @param operationId the unique ID of this accept operation
 * @param author the operator
 * @param baseNumber number of the customer's change that this one is based on; 0 for none
 */
public record AcceptRequest(
        String customer,
        TemplateText text,
        List<ServiceUse> services,
        String operationId,
        String author,
        long baseNumber) {

    /** Creates a request with a copy of the list. */
    public AcceptRequest {
        services = List.copyOf(services);
    }

    /** Returns the change with its number in the fleet-wide log. */
    ChangeRecord toRecord(long number) {
        return new ChangeRecord(
                number, customer, text.digest(), services, operationId, author, baseNumber);
    }
}
