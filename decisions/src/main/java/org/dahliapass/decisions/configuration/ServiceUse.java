package org.dahliapass.decisions.configuration;

import org.dahliapass.model.ServiceId;

/**
 * A reference of a customer's template to a service.
 *
 * @param cellSize number of VMs in the service's cell if the customer provides it, else 0
 */
public record ServiceUse(ServiceId service, int cellSize) {}
