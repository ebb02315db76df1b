package org.dahliapass.model.routing;

/**
 * The operator's settings for the targets of a service.
 *
 * @param name the service's name
 * @param healthPath the path of the targets' health report
 * @param connectionLimit the maximum number of connections to a target from all clients together
 */
public record RoutedService(String name, String healthPath, int connectionLimit) {}
