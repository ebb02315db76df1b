package org.dahliapass.model.routing;

import java.time.Duration;
import java.util.List;

/**
 * A route: the services and the handling of all requests to a path prefix of a host.
 *
 * @param name the route's name
 * @param host the host name, in lower case
 * @param prefix the path prefix; begins and ends with a slash
 * @param requestClass the execution guarantee and response size of the requests
 * @param timeout the maximum time that a caller waits for a response
 * @param objective the latency objective
 * @param priority the priority relative to other routes; 0 is the highest
 * @param maxTargets the maximum number of targets that one client request may be sent to
 * @param keyRequired whether requests need a customer's key, if the configuration has customers
 * @param shares the services that handle the requests; at least one
 */
public record RouteRule(
        String name,
        String host,
        String prefix,
        RequestClass requestClass,
        Duration timeout,
        Duration objective,
        int priority,
        int maxTargets,
        boolean keyRequired,
        List<ServiceShare> shares) {
    /** Creates a route with an immutable copy of the shares. */
    public RouteRule {
        shares = List.copyOf(shares);
    }
}
