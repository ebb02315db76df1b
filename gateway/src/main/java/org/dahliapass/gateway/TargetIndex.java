package org.dahliapass.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.wire.message.WorkAtTarget;

/**
 * The registered targets of one service, by the names that messages between VMs use.
 *
 * <p>A hash of the incarnation stands for a target while no other target of the service has the
 * same hash; otherwise messages contain the incarnation.
 */
final class TargetIndex {
    private final Map<String, TargetRegistration> mByIncarnation = new HashMap<>();
    private final Map<Integer, TargetRegistration> mByHash = new HashMap<>();

    /** Creates an index of the targets of a service. */
    TargetIndex(Collection<TargetRegistration> targets) {
        Set<Integer> ambiguous = new HashSet<>();
        for (TargetRegistration target : targets) {
            mByIncarnation.put(target.incarnation(), target);
            int hash = target.incarnation().hashCode();
            if (mByHash.put(hash, target) != null) {
                ambiguous.add(hash);
            }
        }
        mByHash.keySet().removeAll(ambiguous);
    }

    /** Returns the registered targets by incarnation. */
    Map<String, TargetRegistration> byIncarnation() {
        return mByIncarnation;
    }

    /** Sets the target of a report. */
    void setTarget(WorkAtTarget.Builder report, TargetRegistration target) {
        int hash = target.incarnation().hashCode();
        if (mByHash.containsKey(hash)) {
            report.setInstanceHash(hash);
        } else {
            report.setInstance(target.incarnation());
        }
    }

    /** Returns the target of a report; empty if it isn't registered or not unique. */
    Optional<TargetRegistration> find(WorkAtTarget report) {
        return Optional.ofNullable(
                report.getInstance().isEmpty()
                        ? mByHash.get(report.getInstanceHash())
                        : mByIncarnation.get(report.getInstance()));
    }
}
