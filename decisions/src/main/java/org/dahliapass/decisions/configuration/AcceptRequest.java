package org.dahliapass.decisions.configuration;

import java.util.List;

/**
 * What an operator wants accepted; the text has been checked.
 *
 * @param customer the customer
 * @param text the template's text
 * @param services the services that the template names
 * @param operationId names this accept, unique
 * @param author the operator
 * @param baseNumber the customer's change that the operator started from; 0 for none
 */
public record AcceptRequest(
        String customer,
        TemplateText text,
        List<ServiceUse> services,
        String operationId,
        String author,
        long baseNumber) {

    /** Copies the list. */
    public AcceptRequest {
        services = List.copyOf(services);
    }

    /** Returns the change with its number in the fleet-wide order. */
    ChangeRecord toRecord(long number) {
        return new ChangeRecord(
                number, customer, text.digest(), services, operationId, author, baseNumber);
    }
}
