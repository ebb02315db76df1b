package org.dahliapass.entry;

import org.dahliapass.model.ServiceTemplate;

/**
 * A customer's way to a service.
 *
 * @param customer the customer that asks
 * @param own the service in the customer's own template: its request kinds and limits
 * @param provided the service in its provider's template: its targets, floor and detection
 */
public record Route(String customer, ServiceTemplate own, ServiceTemplate provided) {}
