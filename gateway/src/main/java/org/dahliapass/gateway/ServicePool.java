package org.dahliapass.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.traffic.ServiceRuntime;

/** The view of one service for traffic threads; immutable except for the state of its runtime. */
final class ServicePool {
    private final ServiceRuntime mRuntime;
    private final Map<Endpoint, TargetRegistration> mRegistrations;

    /** Created on first use: most VMs of a large fleet never check whether they reach targets. */
    private volatile List<Endpoint> mEndpoints;

    /** Created on first use: most VMs of a large fleet receive no reports from peers. */
    private volatile TargetIndex mIndex;

    /**
     * Creates the pool of a service.
     *
     * @param runtime the runtime that grants slots at the targets
     * @param registrations the registered target of each endpoint
     */
    ServicePool(ServiceRuntime runtime, Map<Endpoint, TargetRegistration> registrations) {
        mRuntime = runtime;
        mRegistrations = Map.copyOf(registrations);
    }

    /** Returns the runtime that grants slots at the targets. */
    ServiceRuntime runtime() {
        return mRuntime;
    }

    /** Returns the registered target of each endpoint. */
    Map<Endpoint, TargetRegistration> registrations() {
        return mRegistrations;
    }

    /** Returns a registered target at random; empty if there is none. */
    Optional<Endpoint> randomTarget(RandomGenerator random) {
        List<Endpoint> endpoints = mEndpoints;
        if (endpoints == null) {
            endpoints = List.copyOf(mRegistrations.keySet());
            mEndpoints = endpoints;
        }
        return endpoints.isEmpty()
                ? Optional.empty()
                : Optional.of(endpoints.get(random.nextInt(endpoints.size())));
    }

    /** Returns the target that is registered at an endpoint. */
    Optional<TargetRegistration> registrationAt(Endpoint target) {
        return Optional.ofNullable(mRegistrations.get(target));
    }

    /** Returns the registered targets by incarnation. */
    Map<String, TargetRegistration> byIncarnation() {
        return index().byIncarnation();
    }

    /** Returns the registered targets by their names in messages between VMs. */
    TargetIndex index() {
        TargetIndex index = mIndex;
        if (index == null) {
            index = new TargetIndex(mRegistrations.values());
            mIndex = index;
        }
        return index;
    }
}
