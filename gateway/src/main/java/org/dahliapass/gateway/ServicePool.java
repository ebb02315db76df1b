package org.dahliapass.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.traffic.ServiceRuntime;

/** One service on this VM as traffic threads see it; immutable but for what the runtime counts. */
final class ServicePool {
    private final ServiceRuntime mRuntime;
    private final Map<Endpoint, TargetRegistration> mRegistrations;

    /** Made when first asked for: most VMs of a large fleet hear of no other VM's work. */
    private volatile Map<String, TargetRegistration> mByIncarnation;

    /**
     * Joins what belongs to a service.
     *
     * @param runtime gives slots at targets
     * @param registrations who is registered at each address
     */
    ServicePool(ServiceRuntime runtime, Map<Endpoint, TargetRegistration> registrations) {
        mRuntime = runtime;
        mRegistrations = Map.copyOf(registrations);
    }

    /** Returns what gives slots at the targets. */
    ServiceRuntime runtime() {
        return mRuntime;
    }

    /** Returns who is registered at each address. */
    Map<Endpoint, TargetRegistration> registrations() {
        return mRegistrations;
    }

    /** Returns who is registered at an address now. */
    Optional<TargetRegistration> registrationAt(Endpoint target) {
        return Optional.ofNullable(mRegistrations.get(target));
    }

    /** Returns the registered targets by their incarnations. */
    Map<String, TargetRegistration> byIncarnation() {
        Map<String, TargetRegistration> found = mByIncarnation;
        if (found == null) {
            found = new HashMap<>();
            for (TargetRegistration target : mRegistrations.values()) {
                found.put(target.incarnation(), target);
            }
            mByIncarnation = found;
        }
        return found;
    }
}
