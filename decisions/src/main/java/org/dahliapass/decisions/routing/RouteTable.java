package org.dahliapass.decisions.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.RoutingConfiguration;

/** An immutable route lookup by host and longest matching path prefix. */
public final class RouteTable {
    private final RoutingConfiguration mConfiguration;
    private final Map<String, List<RouteRule>> mByHost = new HashMap<>();

    /** Creates a table of the routes of one configuration version. */
    public RouteTable(RoutingConfiguration configuration) {
        mConfiguration = configuration;
        for (RouteRule route : configuration.routes()) {
            mByHost.computeIfAbsent(route.host(), unused -> new ArrayList<>()).add(route);
        }
        Comparator<RouteRule> longestFirst =
                Comparator.comparingInt(route -> -route.prefix().length());
        mByHost.values().forEach(routes -> routes.sort(longestFirst));
    }

    /** Returns the configuration that this table was created from. */
    public RoutingConfiguration configuration() {
        return mConfiguration;
    }

    /**
     * Returns the route of a request; empty if no route matches.
     *
     * @param authority the request's host, with or without a port; case-insensitive
     * @param path the request's path as sent by the caller, without the query
     */
    public Optional<RouteRule> find(String authority, String path) {
        List<RouteRule> routes = mByHost.get(host(authority));
        if (routes == null) {
            return Optional.empty();
        }
        return routes.stream().filter(route -> path.startsWith(route.prefix())).findFirst();
    }

    private static String host(String authority) {
        int colon = authority.lastIndexOf(':');
        String host = colon < 0 ? authority : authority.substring(0, colon);
        return host.toLowerCase(Locale.ROOT);
    }
}
