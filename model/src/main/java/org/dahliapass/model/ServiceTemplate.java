package org.dahliapass.model;

import java.util.List;
import java.util.Optional;

/**
 * What a customer's template says of one service.
 *
 * <p>A service belongs to the customer whose template lists its targets; other customers name that
 * customer as its provider and bring only their own request kinds.
 *
 * @param name the service's name, unique within its provider
 * @param provider the customer whose template lists the targets
 * @param targets the targets; empty if another customer provides the service
 * @param slotsPerTarget requests that a target works on at once
 * @param connectionsPerTarget connections that a target accepts from the whole fleet
 * @param floorShare the share of targets that must stay in service whatever the evidence
 * @param cellSize the number of VMs that serve this service
 * @param healthPath the path of the targets' health report
 * @param loadPath the path of the targets' load report
 * @param detection how sure the fleet must be before it takes a target out
 * @param kinds the request kinds, tried in this order
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

    /** Copies the lists. */
    public ServiceTemplate {
        targets = List.copyOf(targets);
        kinds = List.copyOf(kinds);
    }

    /** Returns the fleet-wide identity of the service. */
    public ServiceId id() {
        return new ServiceId(provider, name);
    }

    /** Returns the first kind that a request of this method and path is of. */
    public Optional<RequestKind> kindOf(String method, String path) {
        return kinds.stream().filter(kind -> kind.matches(method, path)).findFirst();
    }

    /**
     * Returns how many targets must stay in service: the floor's share, rounded up.
     *
     * <p>Guards against binary fractions: 55% of 100 targets multiplies to a little more than 55,
     * which would show as a floor of 56. Taking off less than any real share gives keeps it at 55.
     */
    public int floorTargets() {
        return (int) Math.ceil(floorShare * targets.size() - ROUNDING_ERROR);
    }
}
