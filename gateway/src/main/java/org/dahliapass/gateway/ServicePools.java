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
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.health.TargetHealth;
import org.dahliapass.decisions.health.TargetStatus;
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
import org.dahliapass.model.VmIdentity;
import org.dahliapass.model.explain.Explanation;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.RoutingConfiguration;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.traffic.EntryMetrics;
import org.dahliapass.traffic.ServiceRuntime;
import org.dahliapass.traffic.TargetEventListener;

/**
 * The services of the configuration: for each its traffic decisions and the health of its targets.
 *
 * <p>Health belongs to the control thread; traffic threads find the pools in a published map.
 */
public final class ServicePools implements KernelService, TargetEventListener {
    /** The name under which the kernel holds the pools. */
    public static final String NAME = "service-pools";

    /** How often evidence is weighed without an urgent cause. */
    private static final Duration TICK = Duration.ofMillis(250);

    /**
     * Without work only the slow start of new targets goes on, which takes seconds: a tick a second
     * is enough. A tick goes through all targets, and most VMs of a large fleet have no work.
     */
    private static final Duration TICK_WITHOUT_WORK = Duration.ofSeconds(1);

    /** Longer than evidence counts and a target that was taken out stays out at first. */
    private static final long WEIGHED_AFTER_NEWS_MILLIS = 20_000;

    /**
     * How long news may wait on a VM without work, which most VMs of a large fleet are. To take it
     * goes through all targets: with 250 targets and five changes a second it was two thirds of the
     * processor time of such a VM. A request that comes meanwhile waits until it is taken.
     */
    private static final Duration LATE_REFRESH = Duration.ofSeconds(1);

    /** A VM that had work in the last seconds takes news at once. */
    private static final long IN_USE_MILLIS = 5_000;

    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final GatewaySettings mSettings;
    private final EntryMetrics mMetrics;
    private final EventLog mLog;
    private final Map<String, TargetHealth> mHealth = new HashMap<>();
    private final Map<String, ServiceTemplate> mTemplates = new HashMap<>();
    private ControlLoop mLoop;
    private PeriodicTask mTick;
    private PeriodicTask mLateRefresh;

    /** When there was last something to weigh: work, or targets that came or went. */
    private long mNewsMillis;

    /** When this VM last had work. */
    private volatile long mWorkMillis = Long.MIN_VALUE / 2;

    /** Whether there is news of configuration or targets that the pools don't have yet. */
    private volatile boolean mStale;

    private StoreFollower mFollower;
    private volatile BiConsumer<ServiceId, TargetObservation> mNewsListener = (service, news) -> {};
    private volatile Map<String, ServicePool> mPools = Map.of();

    ServicePools(
            Clock clock,
            RandomGenerator random,
            GatewaySettings settings,
            EntryMetrics metrics,
            EventLog log) {
        mClock = clock;
        mRandom = random;
        mSettings = settings;
        mMetrics = metrics;
        mLog = log;
    }

    /** Finds a service; any thread may call this. */
    Optional<ServicePool> find(String service) {
        return Optional.ofNullable(mPools.get(service));
    }

    /** Returns the names of all services; any thread may call this. */
    Set<String> serviceNames() {
        return mPools.keySet();
    }

    /** Sets who tells the other VMs of work that ended; while the kernel starts. */
    void setOutcomeListener(BiConsumer<ServiceId, TargetObservation> listener) {
        mNewsListener = listener;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mFollower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        mLateRefresh = new PeriodicTask(mLoop, LATE_REFRESH, this::refreshLate);
        mFollower.addChangeListener(this::onNews);
        mTick = new PeriodicTask(mLoop, TICK, this::tick);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void onOutcome(
            ServiceId service, Endpoint target, String kind, Outcome outcome, long latencyMillis) {
        mLoop.execute(
                () -> {
                    TargetHealth health = mHealth.get(service.name());
                    if (health == null) {
                        return;
                    }
                    mNewsMillis = mClock.millis();
                    mWorkMillis = mNewsMillis;
                    mTick.wake();
                    health.onOutcome(target, kind, outcome, latencyMillis, mNewsMillis);
                    if (outcome.isFailure()) {
                        publishTargets(service.name());
                    }
                });
    }

    @Override
    public void onDraining(ServiceId service, Endpoint target) {
        mLoop.execute(
                () -> {
                    TargetHealth health = mHealth.get(service.name());
                    if (health != null) {
                        health.onLeaving(target, "it said that it leaves", mClock.millis());
                        publishTargets(service.name());
                    }
                });
    }

    /** Takes that this VM has work; any thread may call this. */
    void onRequest() {
        mWorkMillis = mClock.millis();
    }

    /**
     * Goes on with a request once the pools have all news.
     *
     * @param loop the thread of the request, which calls this
     */
    void runWhenCurrent(EventLoop loop, Runnable next) {
        if (!mStale) {
            next.run();
            return;
        }
        mLoop.execute(
                () -> {
                    refreshLate();
                    loop.execute(next);
                });
    }

    private void onNews() {
        mStale = true;
        if (mClock.millis() - mWorkMillis < IN_USE_MILLIS) {
            refresh();
        } else {
            mLateRefresh.wake();
        }
    }

    private Optional<Duration> refreshLate() {
        if (mStale) {
            refresh();
        }
        return Optional.empty();
    }

    /** Makes the pools agree with the configuration and the registered targets. */
    private void refresh() {
        mStale = false;
        Optional<RoutingConfiguration> found =
                mFollower.view().routes().map(routes -> routes.configuration());
        if (found.isEmpty()) {
            return;
        }
        RoutingConfiguration configuration = found.get();
        Map<String, Map<Endpoint, TargetRegistration>> registered =
                ServiceTemplates.targetsByService(mFollower.targets().values());
        Map<String, List<RouteRule>> routes = ServiceTemplates.routesByService(configuration);
        Map<String, ServicePool> pools = new HashMap<>();
        for (String service : configuration.services().keySet()) {
            Map<Endpoint, TargetRegistration> targets = registered.getOrDefault(service, Map.of());
            List<RequestKind> kinds =
                    RequestKinds.of(
                            routes.getOrDefault(service, List.of()),
                            configuration.limits(),
                            mSettings.retryShare());
            ServiceTemplate template =
                    ServiceTemplates.of(mSettings, configuration, service, targets, kinds);
            pools.put(service, keep(template, targets));
        }
        mHealth.keySet().retainAll(pools.keySet());
        mTemplates.keySet().retainAll(pools.keySet());
        mPools = Map.copyOf(pools);
        mTick.wake();
        pools.keySet().forEach(this::publishTargets);
    }

    private ServicePool keep(ServiceTemplate template, Map<Endpoint, TargetRegistration> targets) {
        String service = template.name();
        ServicePool before = mPools.get(service);
        ServiceTemplate known = mTemplates.put(service, template);
        long now = mClock.millis();
        TargetHealth health = mHealth.get(service);
        if (health == null) {
            VmIdentity self = new VmIdentity(mSettings.self().name(), 0);
            mHealth.put(
                    service,
                    new TargetHealth(self, mSettings.self().availabilityZone(), template, now));
            mNewsMillis = now;
        } else if (!template.equals(known) || hasNewInstance(before, targets)) {
            mNewsMillis = now;
            forgetReplaced(health, template, before, targets, now);
            health.update(template, now);
        }
        boolean fits =
                before != null
                        && known != null
                        && known.slotsPerTarget() == template.slotsPerTarget();
        ServiceRuntime runtime = fits ? before.runtime() : newRuntime(template);
        runtime.onTemplate(template);
        if (before != null) {
            runtime.forget(replaced(before, targets));
        }
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
                        mMetrics);
        runtime.setObservationListener((service, news) -> mNewsListener.accept(service, news));
        return runtime;
    }

    private static boolean hasNewInstance(
            ServicePool before, Map<Endpoint, TargetRegistration> targets) {
        return before != null && !replaced(before, targets).isEmpty();
    }

    /** Returns the addresses at which another start of a target is registered now. */
    private static Set<Endpoint> replaced(
            ServicePool before, Map<Endpoint, TargetRegistration> targets) {
        Set<Endpoint> replaced = new HashSet<>();
        targets.forEach(
                (endpoint, target) -> {
                    Optional<TargetRegistration> old = before.registrationAt(endpoint);
                    if (old.isPresent() && !old.get().incarnation().equals(target.incarnation())) {
                        replaced.add(endpoint);
                    }
                });
        return replaced;
    }

    /**
     * Guards against a new instance that is blamed for its predecessor at the same address: the
     * address leaves the list for a moment, which drops what was known of it.
     */
    private static void forgetReplaced(
            TargetHealth health,
            ServiceTemplate template,
            ServicePool before,
            Map<Endpoint, TargetRegistration> targets,
            long now) {
        Set<Endpoint> replaced = before == null ? Set.of() : replaced(before, targets);
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
     * A VM that takes no work has nothing to weigh, which is most VMs most of the time.
     *
     * <p>Targets that came are weighed without work, too: else their slow start would end only
     * after the VM's first requests, and the first that must not repeat would be refused.
     */
    private Optional<Duration> tick() {
        long now = mClock.millis();
        if (now - mNewsMillis > WEIGHED_AFTER_NEWS_MILLIS) {
            return Optional.empty();
        }
        for (String service : mPools.keySet()) {
            mHealth.get(service).onTick(now);
            publishTargets(service);
            mPools.get(service).runtime().runMaintenance();
        }
        boolean worked = now - mWorkMillis <= WEIGHED_AFTER_NEWS_MILLIS;
        return Optional.of(worked ? TICK : TICK_WITHOUT_WORK);
    }

    private void publishTargets(String service) {
        ServicePool pool = mPools.get(service);
        TargetHealth health = mHealth.get(service);
        if (pool == null || health == null) {
            return;
        }
        health.takeExplanations().forEach(explanation -> explain(service, explanation));
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

    private void explain(String service, Explanation explanation) {
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
