package org.dahliapass.decisions.health;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;

/**
 * An immutable snapshot of the status of a service's targets as assessed by one VM.
 *
 * @param service the service
 * @param atMillis the time of the snapshot by the VM's clock, in milliseconds
 * @param targets the status of each target of the template
 */
public record ServiceView(ServiceId service, long atMillis, Map<Endpoint, TargetStatus> targets) {

    /** Creates a snapshot with an immutable copy of the map. */
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

    /** Returns the target's weight, 0 to 1; 0 if the template does not list the target. */
    public double weight(Endpoint target) {
        TargetStatus status = targets.get(target);
        return status == null ? 0 : status.weight();
    }

    /** Returns whether the target may receive requests that must run at most once. */
    public boolean acceptsAtMostOnce(Endpoint target) {
        TargetStatus status = targets.get(target);
        return status != null && status.acceptsAtMostOnce();
    }

    /** Returns the number of targets that may receive new requests. */
    public int activeTargets() {
        return (int)
                targets.values().stream()
                        .filter(status -> status.state().receivesRequests())
                        .count();
    }
}
