package org.dahliapass.model;

import java.util.List;
import java.util.Optional;

/**
 * The settings of one service in a customer's template.
 *
 * <p>The provider of a service is the customer whose template lists its targets. Templates of other
 * customers refer to the provider and define only their own request kinds.
 *
 * @param name the service's name, unique within its provider
 * @param provider the customer whose template lists the targets
 * @param targets the targets; empty if another customer provides the service
 * @param slotsPerTarget the number of requests that a target handles concurrently
 * @param connectionsPerTarget the number of connections that a target accepts from the whole fleet
 * @param floorShare the minimum share of targets in service, regardless of evidence, 0 to 1
 * @param cellSize the number of VMs that serve this service
 * @param healthPath the path of the targets' health report
 * @param loadPath the path of the targets' load report
 * @param detection the settings of outlier detection and ejection
 * @param kinds the request kinds, in matching order
 */
public record ServiceTemplate(
        String name,
        String provider,
        List<Target> targets,
        int slotsPerTarget,
        int connectionsPerTarget,
        double floorShare,
        int cellSize,
        String healthPath,
        String loadPath,
        DetectionPolicy detection,
        List<RequestKind> kinds) {
    private static final double ROUNDING_ERROR = 1e-9;

    /** Creates a template with immutable copies of the lists. */
    public ServiceTemplate {
        targets = List.copyOf(targets);
        kinds = List.copyOf(kinds);
    }

    /** Returns the fleet-wide identity of the service. */
    public ServiceId id() {
        return new ServiceId(provider, name);
    }

    /** Returns the first kind that matches a method and path; empty if none matches. */
    public Optional<RequestKind> kindOf(String method, String path) {
        return kinds.stream().filter(kind -> kind.matches(method, path)).findFirst();
    }

    /** Returns the minimum number of targets in service: the floor's share, rounded up. */
    public int floorTargets() {
        // The product may exceed a whole number because of floating-point rounding.
        return (int) Math.ceil(floorShare * targets.size() - ROUNDING_ERROR);
    }
}
