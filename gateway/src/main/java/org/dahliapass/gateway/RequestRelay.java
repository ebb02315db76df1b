package org.dahliapass.gateway;

import java.time.Clock;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.dahliapass.decisions.reachability.RelaySelector;
import org.dahliapass.http.ServerCall;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.traffic.EntryMetrics;

/**
 * Has requests served by other VMs while this one reaches no target, or because it lacks a resource
 * of its own.
 *
 * <p>A request is passed on once at most: the VM that receives it sends it to targets or refuses
 * it. Confined to the traffic thread unless a method says otherwise.
 */
final class RequestRelay {
    /** The reason in metrics of a request that is passed on while this VM reaches no target. */
    private static final String PARTITION = "partition";

    private final String mSelf;
    private final StoreFollower mFollower;
    private final ServicePools mPools;
    private final TargetConnections mConnections;
    private final Clock mClock;
    private final EntryMetrics mMetrics;
    private final RelaySelector mSelector;
    private final PassOnPolicy mPassOnPolicy;

    /** Requests that wait for slots at targets. */
    private final Set<Runnable> mWaiters = new LinkedHashSet<>();

    /** Whether callers are sent to this VM; control thread only. */
    private boolean mIsAdvertised;

    RequestRelay(
            GatewaySettings settings,
            StoreFollower follower,
            ServicePools pools,
            TargetConnections connections,
            Clock clock,
            EntryMetrics metrics) {
        mSelf = settings.self().name();
        mFollower = follower;
        mPools = pools;
        mConnections = connections;
        mClock = clock;
        mMetrics = metrics;
        mSelector = new RelaySelector(mSelf, new SplittableRandom());
        mPassOnPolicy = new PassOnPolicy(settings.load().passesOnWhenBusy());
        follower.addPlanListener(this::onPlanChange);
        connections.reachability().addPartitionListener(this::wakeWaiters);
    }

    /**
     * Checks whether this VM reaches the targets when callers begin to use it.
     *
     * <p>Guards against replacing a partitioned VM by another one in the same network, which would
     * find out only by the requests of its callers.
     */
    private void onPlanChange() {
        boolean isAdvertised = mFollower.view().plan().isAdvertised(mSelf);
        if (isAdvertised && !mIsAdvertised) {
            mConnections.loop().execute(mConnections.reachability()::check);
        }
        mIsAdvertised = isAdvertised;
    }

    /** Returns whether this VM reaches no target, so that requests are best passed on. */
    boolean isNeeded() {
        return mConnections.reachability().isPartitioned();
    }

    /**
     * Creates an attempt at another VM.
     *
     * @param tried the names of the VMs that the request was sent to before
     * @return empty if no VM is available
     */
    Optional<RelayAttempt> attempt(
            ProxyRequest request,
            RelayHeader header,
            Set<String> tried,
            AttemptCause cause,
            BooleanSupplier isCallerConnected,
            RequestCharges charges) {
        RoutingView view = mFollower.view();
        Optional<FleetVm> vm =
                mSelector.select(view.plan().advertisedVms(), view.vms(), tried, mClock.millis());
        return newAttempt(vm, PARTITION, request, header, cause, isCallerConnected, charges);
    }

    private Optional<RelayAttempt> newAttempt(
            Optional<FleetVm> vm,
            String reason,
            ProxyRequest request,
            RelayHeader header,
            AttemptCause cause,
            BooleanSupplier isCallerConnected,
            RequestCharges charges) {
        mMetrics.onRelayed(vm.isPresent() ? "sent" : "no_vm");
        vm.ifPresent(selected -> mMetrics.onRelayedFor(reason));
        return vm.map(
                selected ->
                        new RelayAttempt(
                                request,
                                selected,
                                header,
                                mConnections,
                                mClock,
                                cause,
                                isCallerConnected,
                                incarnation ->
                                        mPools.onPeerLeaving(
                                                request.service(), incarnation, selected.name()),
                                charges));
    }

    /**
     * Returns whether a request that is about to be refused may be served by another VM.
     *
     * @param resource what this VM lacks
     * @param isRelayed whether another VM passed the request on to this one
     * @param remainingMillis the time until its deadline, in milliseconds
     */
    boolean mayPassOn(PassOnCause resource, boolean isRelayed, long remainingMillis) {
        return mPassOnPolicy.allows(resource, isRelayed, remainingMillis)
                && selectForPassOn(resource).isPresent();
    }

    /** Records that a request is passed on, until its response is written. */
    void onPassOn(ServerCall call, PassOnCause resource) {
        mPassOnPolicy.onStarted(resource);
        call.onDelivered(delivery -> mPassOnPolicy.onEnded(resource));
    }

    /** Creates the attempt of a request that is passed on; empty if no VM is available. */
    Optional<RelayAttempt> passOnAttempt(
            PassOnCause resource,
            ProxyRequest request,
            RelayHeader header,
            AttemptCause cause,
            BooleanSupplier isCallerConnected,
            RequestCharges charges) {
        return newAttempt(
                selectForPassOn(resource),
                resource.label(),
                request,
                header,
                cause,
                isCallerConnected,
                charges);
    }

    /** Selects a VM that serves callers and refused no such request lately. */
    private Optional<FleetVm> selectForPassOn(PassOnCause resource) {
        long now = mClock.millis();
        return mSelector.select(
                mFollower.view().plan().advertisedVms(),
                List.of(),
                mPassOnPolicy.refusing(resource, now),
                now);
    }

    /** Records that a VM refused a request that was passed on to it. */
    void onPassOnRefused(FleetVm vm, PassOnCause resource) {
        mPassOnPolicy.onRefused(vm.name(), resource, mClock.millis());
    }

    /**
     * Adds a listener that is called once this VM reaches no target.
     *
     * <p>Guards against requests that wait for the slots of requests that hang behind a partition.
     */
    void addWaiter(Runnable waiter) {
        mWaiters.add(waiter);
    }

    /** Removes a listener; has no effect if it was called. */
    void removeWaiter(Runnable waiter) {
        mWaiters.remove(waiter);
    }

    private void wakeWaiters() {
        List<Runnable> waiters = List.copyOf(mWaiters);
        mWaiters.clear();
        waiters.forEach(Runnable::run);
    }

    /** Records that another VM passed a request on to this one. */
    void onReceived() {
        mMetrics.onRelayed("received");
    }

    /** Records that a VM could not be reached or can't serve requests. */
    void onUnavailable(FleetVm vm) {
        mMetrics.onRelayed("vm_unavailable");
        mSelector.onUnavailable(vm.name(), mClock.millis());
    }
}
