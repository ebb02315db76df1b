package org.dahliapass.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Target;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.RoutingConfiguration;
import org.dahliapass.model.routing.TargetRegistration;

/** Puts configuration and registered targets together, service by service. */
final class ServiceTemplates {
    private ServiceTemplates() {}

    /** Returns the targets of each service that take new work, by their addresses. */
    static Map<String, Map<Endpoint, TargetRegistration>> targetsByService(
            Collection<TargetRegistration> targets) {
        Map<String, Map<Endpoint, TargetRegistration>> registered = new HashMap<>();
        for (TargetRegistration target : targets) {
            // The last written goes last, so that of two instances at an address the newer wins.
            registered
                    .computeIfAbsent(target.service(), unused -> new LinkedHashMap<>())
                    .put(target.endpoint(), target);
        }
        registered.values().forEach(known -> known.values().removeIf(TargetRegistration::draining));
        return registered;
    }

    /** Returns the routes that send requests to each service. */
    static Map<String, List<RouteRule>> routesByService(RoutingConfiguration configuration) {
        Map<String, List<RouteRule>> routes = new HashMap<>();
        for (RouteRule route : configuration.routes()) {
            route.shares()
                    .forEach(
                            share ->
                                    routes.computeIfAbsent(
                                                    share.service(), unused -> new ArrayList<>())
                                            .add(route));
        }
        return routes;
    }

    /** Returns a service as the traffic decisions know it. */
    static ServiceTemplate of(
            GatewaySettings settings,
            RoutingConfiguration configuration,
            String service,
            Map<Endpoint, TargetRegistration> targets,
            List<RequestKind> kinds) {
        List<Target> listed =
                targets.values().stream()
                        .map(one -> new Target(one.endpoint(), one.availabilityZone()))
                        .toList();
        int slots = targets.values().stream().mapToInt(TargetRegistration::slots).max().orElse(1);
        return new ServiceTemplate(
                service,
                service,
                listed,
                slots,
                configuration.services().get(service).connectionLimit(),
                settings.floorShare(),
                1,
                configuration.services().get(service).healthPath(),
                configuration.services().get(service).healthPath(),
                settings.detection(),
                kinds);
    }
}
