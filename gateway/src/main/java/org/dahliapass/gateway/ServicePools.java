package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.acceptance.AcceptanceChange;
import org.dahliapass.decisions.availability.ReplacedTargets;
import org.dahliapass.decisions.availability.TargetAvailability;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.health.TargetHealth;
import org.dahliapass.decisions.health.TargetStatus;
import org.dahliapass.decisions.limits.LimitChange;
import org.dahliapass.decisions.limits.LimitingVms;
import org.dahliapass.decisions.limits.TargetLimitSharing;
import org.dahliapass.decisions.traffic.RetryAllowance;
import org.dahliapass.decisions.traffic.RetryBudget;
import org.dahliapass.decisions.traffic.TargetObservation;
import org.dahliapass.decisions.traffic.WeightedTarget;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Target;
import org.dahliapass.model.TargetInstance;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.model.explain.Explanation;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.RoutingConfiguration;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.traffic.EntryMetrics;
import org.dahliapass.traffic.ServiceRuntime;
import org.dahliapass.traffic.TargetEventListener;

/**
 * The services of the configuration, each with its runtime and the health of its targets.
 *
 * <p>The health state is confined to the control thread; traffic threads read a published map of
 * pools.
 */
public final class ServicePools implements KernelService, TargetEventListener {
    /** The service name in the kernel. */
    public static final String NAME = "service-pools";

    /** The interval of the health evaluation under load. */
    private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(250);

    /**
     * The interval of the evaluation without requests, when only the slow start of new targets
     * advances. An evaluation visits all targets, and most VMs of a large fleet are idle.
     */
    private static final Duration IDLE_EVALUATION_INTERVAL = Duration.ofSeconds(1);

    /** Longer than the evidence window and the first ejection of a target. */
    private static final long EVALUATION_MILLIS = 20_000;

    /**
     * The delay of a refresh on an idle VM. A refresh visits all targets, which dominates the
     * processor time of an idle VM in a large fleet. A request that arrives meanwhile waits for the
     * refresh.
     */
    private static final Duration IDLE_REFRESH_DELAY = Duration.ofSeconds(1);

    /** The delay after which services that could not be updated are updated again. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private static final double HUNDREDTHS = 100.0;

    /** The time after a request for which a VM refreshes without delay. */
    private static final long ACTIVE_MILLIS = 5_000;

    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final GatewaySettings mSettings;
    private final EntryMetrics mMetrics;
    private final EventLog mLog;
    private final TargetReachability mReachability;
    private final Supplier<LimitingVms> mLimitingVms;
    private final TargetAvailability mAvailability;
    private final RetryAllowance mRetryAllowance;
    private final Map<String, TargetHealth> mHealth = new HashMap<>();
    private final Map<String, ServiceTemplate> mTemplates = new HashMap<>();
    private ControlLoop mLoop;
    private PeriodicTask mEvaluation;
    private PeriodicTask mDelayedRefresh;
    private PeriodicTask mRetriedRefresh;

    /** The time of the last request or change of targets. */
    private long mLastChangeMillis;

    /** The time of the last request. */
    private volatile long mLastRequestMillis = Long.MIN_VALUE / 2;

    /** Whether the pools lag behind the configuration or the registered targets. */
    private volatile boolean mIsOutdated;

    /** Whether the pool of a service could not be updated; control thread only. */
    private boolean mIsIncomplete;

    private StoreFollower mFollower;
    private volatile BiConsumer<ServiceId, TargetObservation> mObservationListener =
            (service, observation) -> {};
    private volatile Map<String, ServicePool> mPools = Map.of();

    ServicePools(
            Clock clock,
            RandomGenerator random,
            GatewaySettings settings,
            EntryMetrics metrics,
            EventLog log,
            TargetReachability reachability,
            Supplier<LimitingVms> limitingVms) {
        mReachability = reachability;
        mLimitingVms = limitingVms;
        mClock = clock;
        mRandom = random;
        mAvailability =
                new TargetAvailability(
                        random, new ReplacedTargets(settings.load().tracksReplacedTargets()));
        mRetryAllowance = new RetryAllowance(settings.limits().retries());
        mSettings = settings;
        mMetrics = metrics;
        mLog = log;
    }

    /** Returns the pool of a service; any thread may call this. */
    Optional<ServicePool> find(String service) {
        return Optional.ofNullable(mPools.get(service));
    }

    /** Returns the names of all services; any thread may call this. */
    Set<String> serviceNames() {
        return mPools.keySet();
    }

    /**
     * Returns a target of a service at random; any thread may call this.
     *
     * @return the target; empty if the selected service has none
     */
    Optional<Endpoint> randomTarget() {
        List<ServicePool> pools = List.copyOf(mPools.values());
        return pools.isEmpty()
                ? Optional.empty()
                : pools.get(mRandom.nextInt(pools.size())).randomTarget(mRandom);
    }

    /** Sets the listener for observations of targets; to be called during the start. */
    void setObservationListener(BiConsumer<ServiceId, TargetObservation> listener) {
        mObservationListener = listener;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mFollower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        mDelayedRefresh = new PeriodicTask(mLoop, IDLE_REFRESH_DELAY, this::refreshIfOutdated);
        mRetriedRefresh = new PeriodicTask(mLoop, RETRY_DELAY, this::refreshIfOutdated);
        mFollower.addChangeListener(this::onStateChange);
        mFollower.addPlanListener(this::onPlanChange);
        mReachability.setTargets(this::randomTarget);
        mEvaluation = new PeriodicTask(mLoop, EVALUATION_INTERVAL, this::evaluate);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void onOutcome(
            ServiceId service, Endpoint target, String kind, Outcome outcome, long latencyMillis) {
        Runnable record =
                () ->
                        mLoop.execute(
                                () -> recordOutcome(service, target, kind, outcome, latencyMillis));
        if (outcome.isFailure() && !outcome.hasResponse()) {
            mReachability.reportFailure(record);
        } else {
            record.run();
        }
    }

    private void recordOutcome(
            ServiceId service, Endpoint target, String kind, Outcome outcome, long latencyMillis) {
        TargetHealth health = mHealth.get(service.name());
        if (health == null) {
            return;
        }
        mLastChangeMillis = mClock.millis();
        mLastRequestMillis = mLastChangeMillis;
        mEvaluation.wake();
        health.onOutcome(target, kind, outcome, latencyMillis, mLastChangeMillis);
        if (outcome.isFailure()) {
            publishTargets(service.name());
        }
    }

    @Override
    public void onDraining(ServiceId service, Endpoint target) {
        mLoop.execute(
                () -> {
                    TargetHealth health = mHealth.get(service.name());
                    if (health != null) {
                        health.onLeaving(
                                target, "the target reported that it is draining", mClock.millis());
                        publishTargets(service.name());
                    }
                });
    }

    @Override
    public void onLimitChanged(
            ServiceId service, Endpoint target, LimitChange change, String reporter) {
        Optional<TargetRegistration> registration =
                find(service.name()).flatMap(pool -> pool.registrationAt(target));
        mLog.write(
                EventLog.Kind.BELIEF,
                "target_limit_changed",
                line ->
                        line.put("service", service.name())
                                .put("target", target.toString())
                                .put(
                                        "instance",
                                        registration.map(TargetRegistration::instance).orElse(""))
                                .put("before", change.before().toString())
                                .put("limit", change.after().toString())
                                .put("seen_by", nameOf(reporter)));
    }

    @Override
    public void onLeavingStated(ServiceId service, TargetInstance target, String reporter) {
        mLog.write(
                EventLog.Kind.BELIEF,
                "target_leaving_stated",
                line ->
                        line.put("service", service.name())
                                .put("target", target.endpoint().toString())
                                .put("instance", target.name())
                                .put("seen_by", nameOf(reporter)));
    }

    /**
     * Records that another VM received a response which says that its target is leaving; any thread
     * may call this.
     */
    void onPeerLeaving(String service, String incarnation, String reporter) {
        Optional<TargetRegistration> registration =
                find(service).map(pool -> pool.byIncarnation().get(incarnation));
        if (registration.isPresent() && mAvailability.onPeerLeaving(incarnation, mClock.millis())) {
            onLeavingStated(new ServiceId(service, service), registration.get().target(), reporter);
        }
    }

    @Override
    public void onReplaced(ServiceId service, TargetInstance target, String reporter) {
        mLog.write(
                EventLog.Kind.BELIEF,
                "target_replaced",
                line ->
                        line.put("service", service.name())
                                .put("target", target.endpoint().toString())
                                .put("instance", target.name())
                                .put("seen_by", nameOf(reporter)));
    }

    /**
     * Records that another VM received a response of another instance at the address of a target;
     * any thread may call this.
     */
    void onPeerReplaced(String service, String incarnation, String reporter) {
        Optional<ServicePool> pool = find(service);
        if (pool.isEmpty()) {
            return;
        }
        Map<String, TargetRegistration> registered = pool.get().byIncarnation();
        if (mAvailability
                .replaced()
                .onPeerMisdirected(incarnation, registered.keySet(), mClock.millis())) {
            onReplaced(
                    new ServiceId(service, service),
                    registered.get(incarnation).target(),
                    reporter);
        }
    }

    /** Returns what is known of the availability of targets; thread-safe. */
    TargetAvailability availability() {
        return mAvailability;
    }

    @Override
    public void onRestStated(ServiceId service, TargetInstance target, long restMillis) {
        mLog.write(
                EventLog.Kind.BELIEF,
                "target_rest_stated",
                line ->
                        line.put("service", service.name())
                                .put("target", target.endpoint().toString())
                                .put("instance", target.name())
                                .put("rest_ms", restMillis));
    }

    @Override
    public void onAcceptanceChanged(ServiceId service, AcceptanceChange change) {
        Optional<TargetRegistration> registration =
                find(service.name()).flatMap(pool -> pool.registrationAt(change.target()));
        mLog.write(
                EventLog.Kind.BELIEF,
                change.isShedding() ? "target_sheds" : "target_accepts_again",
                line ->
                        line.put("service", service.name())
                                .put("target", change.target().toString())
                                .put(
                                        "instance",
                                        registration.map(TargetRegistration::instance).orElse(""))
                                .put(
                                        "acceptance",
                                        Math.round(change.probability() * HUNDREDTHS)
                                                / HUNDREDTHS));
    }

    /** Returns the name of a VM that reports what a response says; empty stands for this VM. */
    private String nameOf(String reporter) {
        return reporter.isEmpty() ? mSettings.self().name() : reporter;
    }

    /** Records that this VM serves requests; any thread may call this. */
    void onRequest() {
        mLastRequestMillis = mClock.millis();
    }

    /**
     * Runs a task on the event loop of a request once the pools are up to date.
     *
     * @param loop the event loop of the request, which calls this method
     */
    void runWhenCurrent(EventLoop loop, Runnable next) {
        if (!mIsOutdated) {
            next.run();
            return;
        }
        mLoop.execute(
                () -> {
                    try {
                        refreshIfOutdated();
                    } finally {
                        // The request is served with the pools as they are.
                        loop.execute(next);
                    }
                });
    }

    private void onStateChange() {
        mIsOutdated = true;
        if (mClock.millis() - mLastRequestMillis < ACTIVE_MILLIS) {
            refresh();
        } else {
            mDelayedRefresh.wake();
        }
    }

    private Optional<Duration> refreshIfOutdated() {
        if ((mIsOutdated || mIsIncomplete) && !mFollower.isolate(this::refresh)) {
            mRetriedRefresh.wake();
        }
        return Optional.empty();
    }

    /** Rebuilds the pools from the configuration and the registered targets. */
    private void refresh() {
        mIsIncomplete = false;
        mFollower.view().routes().ifPresent(routes -> refresh(routes.configuration()));
        // Last, so that no request uses the pools while they are rebuilt.
        mIsOutdated = false;
    }

    private void refresh(RoutingConfiguration configuration) {
        Map<String, Map<Endpoint, TargetRegistration>> registered =
                ServiceTemplates.targetsByService(mFollower.targets().values());
        Map<String, List<RouteRule>> routes = ServiceTemplates.routesByService(configuration);
        Map<String, ServicePool> pools = new HashMap<>();
        for (String service : configuration.services().keySet()) {
            Map<Endpoint, TargetRegistration> targets = registered.getOrDefault(service, Map.of());
            List<RouteRule> rules = routes.getOrDefault(service, List.of());
            boolean isUpdated =
                    mFollower.isolate(
                            () ->
                                    pools.put(
                                            service,
                                            updatePool(configuration, service, rules, targets)));
            if (!isUpdated) {
                // The other services are updated, and this one keeps its targets for a while.
                find(service).ifPresent(previous -> pools.put(service, previous));
                mIsIncomplete = true;
            }
        }
        mHealth.keySet().retainAll(pools.keySet());
        mTemplates.keySet().retainAll(pools.keySet());
        mPools = Map.copyOf(pools);
        evictAvailability();
        mEvaluation.wake();
        for (String service : pools.keySet()) {
            mIsIncomplete |= !mFollower.isolate(() -> publishTargets(service));
        }
        if (mIsIncomplete) {
            mRetriedRefresh.wake();
        }
    }

    private ServicePool updatePool(
            RoutingConfiguration configuration,
            String service,
            List<RouteRule> rules,
            Map<Endpoint, TargetRegistration> targets) {
        List<RequestKind> kinds =
                RequestKinds.of(rules, configuration.limits(), mSettings.retryShare());
        return updatePool(
                ServiceTemplates.of(mSettings, configuration, service, targets, kinds), targets);
    }

    private void evictAvailability() {
        if (mAvailability.isEmpty()) {
            return;
        }
        Set<String> registered = new HashSet<>();
        mFollower.targets().values().forEach(target -> registered.add(target.incarnation()));
        mAvailability.evict(registered::contains, mClock.millis());
    }

    private ServicePool updatePool(
            ServiceTemplate template, Map<Endpoint, TargetRegistration> targets) {
        String service = template.name();
        ServicePool previous = mPools.get(service);
        ServiceTemplate previousTemplate = mTemplates.get(service);
        long now = mClock.millis();
        TargetHealth health = mHealth.get(service);
        if (health == null) {
            VmIdentity self = new VmIdentity(mSettings.self().name(), 0);
            mHealth.put(
                    service,
                    new TargetHealth(self, mSettings.self().availabilityZone(), template, now));
            mLastChangeMillis = now;
        } else if (!template.equals(previousTemplate) || hasNewInstance(previous, targets)) {
            mLastChangeMillis = now;
            removeReplaced(health, template, previous, targets, now);
            health.update(template, now);
        }
        // Requests that wait or run keep the runtime, and must learn of all later changes.
        ServiceRuntime runtime = previous == null ? newRuntime(template) : previous.runtime();
        runtime.onTemplate(template);
        if (previous != null) {
            runtime.forget(replaced(previous, targets));
        }
        // Last, since a template that is recorded here is not applied again.
        mTemplates.put(service, template);
        return new ServicePool(runtime, targets);
    }

    private ServiceRuntime newRuntime(ServiceTemplate template) {
        ServiceRuntime runtime =
                new ServiceRuntime(
                        mSettings.self().availabilityZone(),
                        template,
                        mClock,
                        mRandom,
                        this,
                        mMetrics,
                        TargetLimitSharing.FEW_VMS,
                        mAvailability,
                        mSettings.load().traffic());
        runtime.setRetryAllowance(retryAllowance(mClock.millis()));
        runtime.setLimitingVms(mLimitingVms);
        runtime.setCustomerPriorities(this::customerPriority);
        runtime.setObservationListener(
                (service, observation) -> mObservationListener.accept(service, observation));
        return runtime;
    }

    private OptionalInt customerPriority(String customer) {
        return mFollower.view().routes().stream()
                .flatMapToInt(routes -> routes.configuration().keys().priorityOf(customer).stream())
                .findFirst();
    }

    private static boolean hasNewInstance(
            ServicePool previous, Map<Endpoint, TargetRegistration> targets) {
        return previous != null && !replaced(previous, targets).isEmpty();
    }

    /** Returns the endpoints at which a different start of a target is registered now. */
    private static Set<Endpoint> replaced(
            ServicePool previous, Map<Endpoint, TargetRegistration> targets) {
        Set<Endpoint> replaced = new HashSet<>();
        targets.forEach(
                (endpoint, target) -> {
                    Optional<TargetRegistration> previousTarget = previous.registrationAt(endpoint);
                    if (previousTarget.isPresent()
                            && !previousTarget.get().incarnation().equals(target.incarnation())) {
                        replaced.add(endpoint);
                    }
                });
        return replaced;
    }

    /**
     * Removes the health state of replaced targets by an update without them.
     *
     * <p>Guards against a new instance that inherits the failures of its predecessor at the same
     * endpoint.
     */
    private static void removeReplaced(
            TargetHealth health,
            ServiceTemplate template,
            ServicePool previous,
            Map<Endpoint, TargetRegistration> targets,
            long now) {
        Set<Endpoint> replaced = previous == null ? Set.of() : replaced(previous, targets);
        if (replaced.isEmpty()) {
            return;
        }
        List<Target> others =
                template.targets().stream()
                        .filter(target -> !replaced.contains(target.endpoint()))
                        .toList();
        health.update(
                new ServiceTemplate(
                        template.name(),
                        template.provider(),
                        others,
                        template.slotsPerTarget(),
                        template.connectionsPerTarget(),
                        template.floorShare(),
                        template.cellSize(),
                        template.healthPath(),
                        template.loadPath(),
                        template.detection(),
                        template.kinds()),
                now);
    }

    /**
     * Evaluates the health of the targets; stops when there was no request and no new target for a
     * while.
     *
     * <p>New targets are evaluated without requests, too: otherwise their slow start would end only
     * after the first requests, and the first at-most-once requests would be refused.
     */
    private Optional<Duration> evaluate() {
        long now = mClock.millis();
        if (now - mLastChangeMillis > EVALUATION_MILLIS) {
            return Optional.empty();
        }
        for (String service : mPools.keySet()) {
            boolean unused = mLoop.isolate(() -> evaluate(service, now));
        }
        boolean isActive = now - mLastRequestMillis <= EVALUATION_MILLIS;
        return Optional.of(isActive ? EVALUATION_INTERVAL : IDLE_EVALUATION_INTERVAL);
    }

    private void evaluate(String service, long now) {
        mHealth.get(service).onTick(now);
        publishTargets(service);
        mPools.get(service).runtime().runMaintenance();
    }

    private void publishTargets(String service) {
        ServicePool pool = mPools.get(service);
        TargetHealth health = mHealth.get(service);
        if (pool == null || health == null) {
            return;
        }
        health.takeExplanations().forEach(explanation -> logExplanation(service, explanation));
        List<WeightedTarget> targets = new ArrayList<>();
        for (TargetStatus status : health.view().targets().values()) {
            Optional<TargetRegistration> registered =
                    pool.registrationAt(status.target().endpoint());
            if (registered.isEmpty()) {
                continue;
            }
            targets.add(
                    new WeightedTarget(
                            registered.get().target(),
                            status.target().availabilityZone(),
                            status.state().receivesRequests() ? status.weight() : 0,
                            status.acceptsAtMostOnce()));
        }
        pool.runtime().onTargets(targets);
    }

    /**
     * Returns the allowance of a service's budget. A new budget has a part of it for a window,
     * since it may follow one of the same service whose retries it doesn't know.
     */
    private DoubleSupplier retryAllowance(long createdMillis) {
        return () -> {
            long now = mClock.millis();
            return now - createdMillis < RetryBudget.WINDOW_MILLIS
                    ? mRetryAllowance.unsettledRetries(now)
                    : mRetryAllowance.retries(mFollower.lastResponseMillis(), now);
        };
    }

    private void onPlanChange() {
        RoutingView view = mFollower.view();
        String self = mSettings.self().name();
        long now = mClock.millis();
        mRetryAllowance.onPlan(
                view.vms().size(),
                view.plan().advertisedVms().size(),
                view.plan().isAdvertised(self),
                now);
        mMetrics.onRetryAllowance(mRetryAllowance.retries(mFollower.lastResponseMillis(), now));
    }

    private void logExplanation(String service, Explanation explanation) {
        mLog.write(
                EventLog.Kind.BELIEF,
                "target_" + explanation.action().name().toLowerCase(Locale.ROOT),
                line ->
                        line.put("service", service)
                                .put("subject", explanation.subject())
                                .put("cause", explanation.cause())
                                .put("evidence", explanation.evidence())
                                .put("setting", explanation.setting()));
    }
}
