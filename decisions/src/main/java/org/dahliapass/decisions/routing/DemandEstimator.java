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
 * Estimates how many requests callers send to the whole fleet, before the first one has come.
 *
 * <p>Targets are there for the load that is expected, so their slots tell it: work in flight is the
 * rate times the time of an answer (Little's law). All VMs read the same entries and so reach the
 * same figure, also in a fleet that has just started and has counted nothing yet.
 */
public final class DemandEstimator {
    /**
     * How many answers of usual length fit into a route's objective. The objectives known are 2.5
     * to 7.5 times the mean time of an answer, most of them 3.0 to 4.8 times.
     */
    private static final double ANSWERS_AN_OBJECTIVE = 3.3;

    /** The share of the slots that is in use: 20 to 36% at the usual loads known. */
    private static final double SLOTS_IN_USE = 0.35;

    /**
     * The estimate is rounded to a power of this, so that a target that comes or goes seldom moves
     * callers from one VM to another.
     */
    private static final double STEP = 1.2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private DemandEstimator() {}

    /** Returns the estimate in requests a second; 0 while there is no target with a route. */
    public static double requestsPerSecond(
            RoutingConfiguration configuration, Collection<TargetRegistration> targets) {
        Map<String, Double> answers = answersPerSlot(configuration.routes());
        double sum = 0;
        for (TargetRegistration target : targets) {
            sum += target.slots() * answers.getOrDefault(target.service(), 0.0);
        }
        double estimate = sum * SLOTS_IN_USE;
        return estimate <= 0 ? 0 : Math.pow(STEP, Math.rint(Math.log(estimate) / Math.log(STEP)));
    }

    /** Returns how many answers a second one slot of each service gives when always in use. */
    private static Map<String, Double> answersPerSlot(List<RouteRule> routes) {
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
        Map<String, Double> answers = new HashMap<>();
        objectives.forEach(
                (service, sum) -> {
                    double meanMillis = (double) sum.toMillis() / counts.get(service);
                    answers.put(
                            service,
                            ANSWERS_AN_OBJECTIVE * MILLIS_PER_SECOND / Math.max(1, meanMillis));
                });
        return answers;
    }
}
