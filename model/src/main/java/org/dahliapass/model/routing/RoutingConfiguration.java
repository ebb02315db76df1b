package org.dahliapass.model.routing;

import java.util.List;
import java.util.Map;

/**
 * One complete version of the operator's routing configuration.
 *
 * @param version the version number, which increases with each change
 * @param routes all routes
 * @param services all services by name
 * @param keys the keys of the customers
 * @param limits the limits on client requests and connections
 */
public record RoutingConfiguration(
        long version,
        List<RouteRule> routes,
        Map<String, RoutedService> services,
        CustomerKeys keys,
        RequestLimits limits) {
    /** Creates a configuration with immutable copies of the collections. */
    public RoutingConfiguration {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
    }
}
