package org.dahliapass.decisions.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.RoutingConfiguration;
import org.dahliapass.model.routing.TargetRegistration;

/**
 * Estimates the request rate of the whole fleet from the capacity of the registered targets.
 *
 * <p>Target slots are provisioned for the expected load. By Little's law, the request rate is the
 * number of slots in use divided by the mean response time. The estimate needs no measured traffic,
 * and all VMs compute the same value from the same store entries.
 */
public final class DemandEstimator {
    /** The assumed ratio of a route's latency objective to its mean response time. */
    private static final double OBJECTIVE_TO_MEAN_RATIO = 3.3;

    /** The assumed share of slots in use; 20 to 36% at the usual loads of known services. */
    private static final double SLOT_UTILIZATION = 0.35;

    /** Estimates are rounded to a power of this, so that few target changes move callers. */
    private static final double ROUNDING_BASE = 1.2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private DemandEstimator() {}

    /**
     * Returns the estimated request rate of the fleet, in requests per second; 0 if no target
     * serves a route.
     */
    public static double requestsPerSecond(
            RoutingConfiguration configuration, Collection<TargetRegistration> targets) {
        Map<String, Double> slotRates = requestsPerSecondPerSlot(configuration.routes());
        double capacity = 0;
        for (TargetRegistration target : targets) {
            capacity += target.slots() * slotRates.getOrDefault(target.service(), 0.0);
        }
        double estimate = capacity * SLOT_UTILIZATION;
        return estimate <= 0
                ? 0
                : Math.pow(ROUNDING_BASE, Math.rint(Math.log(estimate) / Math.log(ROUNDING_BASE)));
    }

    /** Returns the request rate that one fully used slot sustains, by service. */
    private static Map<String, Double> requestsPerSecondPerSlot(List<RouteRule> routes) {
        Map<String, Duration> objectives = new HashMap<>();
        Map<String, Integer> counts = new HashMap<>();
        for (RouteRule route : routes) {
            route.shares()
                    .forEach(
                            share -> {
                                objectives.merge(
                                        share.service(), route.objective(), Duration::plus);
                                counts.merge(share.service(), 1, Integer::sum);
                            });
        }
        Map<String, Double> slotRates = new HashMap<>();
        objectives.forEach(
                (service, total) -> {
                    double meanMillis = (double) total.toMillis() / counts.get(service);
                    slotRates.put(
                            service,
                            OBJECTIVE_TO_MEAN_RATIO * MILLIS_PER_SECOND / Math.max(1, meanMillis));
                });
        return slotRates;
    }
}
