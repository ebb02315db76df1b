package org.dahliapass.model.routing;

/**
 * The share of a route's requests that a service receives.
 *
 * @param service the service's name
 * @param weight the share in proportion to the other weights of the route; above 0
 */
public record ServiceShare(String service, double weight) {}
