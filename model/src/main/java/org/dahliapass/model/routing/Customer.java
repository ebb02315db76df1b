package org.dahliapass.model.routing;

import java.util.OptionalInt;

/**
 * A customer whose requests carry a key.
 *
 * @param name the customer's name, unique within a configuration
 * @param priority the priority that replaces the route's; 0 is the highest
 * @param limit the request rate over all VMs together
 */
public record Customer(String name, OptionalInt priority, RateLimit limit) {}
