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

/** Creates service templates from the configuration and the registered targets. */
final class ServiceTemplates {
    private ServiceTemplates() {}

    /** Returns the targets of each service that accept new requests, by endpoint. */
    static Map<String, Map<Endpoint, TargetRegistration>> targetsByService(
            Collection<TargetRegistration> targets) {
        Map<String, Map<Endpoint, TargetRegistration>> registered = new HashMap<>();
        for (TargetRegistration target : targets) {
            // Later registrations overwrite earlier ones, so the newer of two instances at an
            // endpoint wins.
            registered
                    .computeIfAbsent(target.service(), unused -> new LinkedHashMap<>())
                    .put(target.endpoint(), target);
        }
        registered
                .values()
                .forEach(byEndpoint -> byEndpoint.values().removeIf(TargetRegistration::draining));
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

    /** Returns the template of a service. */
    static ServiceTemplate of(
            GatewaySettings settings,
            RoutingConfiguration configuration,
            String service,
            Map<Endpoint, TargetRegistration> targets,
            List<RequestKind> kinds) {
        List<Target> serviceTargets =
                targets.values().stream()
                        .map(target -> new Target(target.endpoint(), target.availabilityZone()))
                        .toList();
        int slots = targets.values().stream().mapToInt(TargetRegistration::slots).max().orElse(1);
        return new ServiceTemplate(
                service,
                service,
                serviceTargets,
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
