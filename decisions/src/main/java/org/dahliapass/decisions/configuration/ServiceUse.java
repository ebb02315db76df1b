package org.dahliapass.decisions.configuration;

import org.dahliapass.model.ServiceId;

/**
 * A service that a customer's template names.
 *
 * @param service the service
 * @param cellSize the number of VMs that serve it if this customer provides it, else 0
 */
public record ServiceUse(ServiceId service, int cellSize) {}
