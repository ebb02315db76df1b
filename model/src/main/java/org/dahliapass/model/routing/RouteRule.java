package org.dahliapass.model.routing;

import java.time.Duration;
import java.util.List;

/**
 * Where requests to one path prefix of one host go, and how they are treated.
 *
 * @param name the route's name
 * @param host the host it belongs to, in lower case
 * @param prefix the beginning of the paths that it takes; begins and ends with a slash
 * @param requestClass whether its requests may repeat, and how large their answers are
 * @param timeout the longest time that a caller is kept waiting
 * @param objective an answer within this time is of full use
 * @param priority its rank among the routes; 0 is the most urgent
 * @param maxTargets the most targets to which one attempt of a client may be sent
 * @param shares the services that serve it; one or more
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
        List<ServiceShare> shares) {
    /** Copies the list. */
    public RouteRule {
        shares = List.copyOf(shares);
    }
}
