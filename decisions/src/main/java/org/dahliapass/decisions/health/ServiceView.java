package org.dahliapass.decisions.health;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;

/**
 * An immutable snapshot of what a VM thinks of a service's targets; traffic threads read it.
 *
 * @param service the service
 * @param atMillis when it was taken, in milliseconds of the VM's clock
 * @param targets one status for each target of the template
 */
public record ServiceView(ServiceId service, long atMillis, Map<Endpoint, TargetStatus> targets) {

    /** Copies the map. */
    public ServiceView {
        targets = Map.copyOf(targets);
    }

    static ServiceView of(ServiceId service, long atMillis, List<TargetStatus> statuses) {
        return new ServiceView(
                service,
                atMillis,
                statuses.stream()
                        .collect(
                                Collectors.toMap(
                                        status -> status.target().endpoint(),
                                        Function.identity())));
    }

    /** Returns the target's weight; 0 if the template doesn't list it. */
    public double weight(Endpoint target) {
        TargetStatus status = targets.get(target);
        return status == null ? 0 : status.weight();
    }

    /** Returns whether work that must run at most once may be sent to the target. */
    public boolean acceptsAtMostOnce(Endpoint target) {
        TargetStatus status = targets.get(target);
        return status != null && status.acceptsAtMostOnce();
    }

    /** Returns how many targets may get new work. */
    public int activeTargets() {
        return (int)
                targets.values().stream()
                        .filter(status -> status.state().receivesRequests())
                        .count();
    }
}
