package org.dahliapass.gateway;

import java.time.Clock;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.routing.WeightedRoundRobin;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.platform.HttpKeyValueStore;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.QuarantineEntry;
import org.dahliapass.traffic.EntryMetrics;

/**
 * A gateway VM: creates the services and connects them. A process runs one VM; tests run several.
 */
public final class GatewayVm {
    /** Exceeds the latency of a slow store, which is 60 times the usual 4 ms. */
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_200);

    /**
     * The time after which no caller uses a discovery response that contains this VM: some callers
     * cache it for three times its time to live of 1.5 s.
     */
    private static final Duration DISCOVERY_EXPIRY = Duration.ofMillis(4_600);

    /**
     * The part of the stop timeout in which requests are no longer accepted. Leaves time for a
     * request of 2.3 s and the exit.
     */
    private static final Duration CLOSING_PERIOD = Duration.ofMillis(3_200);

    /**
     * The part of the stop timeout reserved for the exit; allows for late timers on a small, busy
     * VM.
     */
    private static final Duration EXIT_RESERVE = Duration.ofMillis(900);

    /** The last part of the drain, in which a target could no longer serve a request. */
    private static final Duration LAST_SEND_RESERVE = Duration.ofSeconds(1);

    /** The part of the exit reserve in which the last responses are delivered. */
    private static final Duration DELIVERY_PERIOD = Duration.ofMillis(100);

    /** The polling interval for the end of the last request. */
    private static final Duration IDLE_POLL_INTERVAL = Duration.ofMillis(50);

    private final GatewaySettings mSettings;
    private final Clock mClock;
    private final GatewayState mState = new GatewayState();
    private final EventLog mLog;
    private final ControlLoop mLoop;
    private final ChangeFeed mFeed;
    private final SelfRegistration mRegistration;
    private final LoadReporter mLoadReporter;
    private final ProxyHandler mProxy;
    private final Kernel mKernel = new Kernel();

    /**
     * Creates the services of a VM without starting them.
     *
     * @param settings the settings of the VM
     * @param clock the time source of all decisions
     * @param log the log of all decisions
     */
    public GatewayVm(GatewaySettings settings, Clock clock, EventLog log) {
        RandomGenerator random = new SplittableRandom();
        mSettings = settings;
        mClock = clock;
        mLog = log;
        mLoop = new ControlLoop(clock);
        EntryMetrics metrics = new EntryMetrics();
        TargetConnections connections =
                new TargetConnections(
                        clock,
                        metrics,
                        log,
                        new RequestMemory(settings.load(), clock, metrics, log));
        KeyValueStore store = store(settings, connections, metrics, log);
        StoreFollower follower =
                new StoreFollower(settings.vmsPerZone(), settings.registrationPacing(), log);
        record(connections.failures(), follower);
        ChangeFeed feed = feed(settings, store, connections, random, metrics);
        mFeed = feed;
        LimitingVmsSource limitingVms = new LimitingVmsSource(settings, follower, feed);
        ServicePools pools = pools(settings, clock, metrics, log, connections, limitingVms);
        mRegistration =
                new SelfRegistration(
                        store, settings, feed, connections.reachability(), random, log);
        mLoadReporter = new LoadReporter(clock, metrics, log, connections);
        PeerExchange exchange = new PeerExchange(settings, connections, log);
        WaitingReporter waiting = new WaitingReporter(log);
        PoisonGuard guard =
                new PoisonGuard(
                        settings, clock, connections, store, follower, exchange, metrics, log);
        feed.addRestoreListener(
                () -> guard.onStoreRestored(feed.mirror().keys(QuarantineEntry.PREFIX)));
        CustomerLimits limits = new CustomerLimits(settings, limitingVms, exchange, random);
        ProxyHandler proxy =
                new ProxyHandler(
                        clock,
                        settings,
                        mState,
                        follower,
                        pools,
                        new WeightedRoundRobin(random),
                        connections,
                        log,
                        new GatewayResponses(random),
                        mLoadReporter,
                        feed.status(),
                        () -> onRequest(pools, exchange, waiting),
                        guard,
                        authenticator(settings, follower, feed),
                        limits,
                        new RequestRelay(settings, follower, pools, connections, clock, metrics));
        mProxy = proxy;
        GatewayServers servers = servers(metrics, proxy, connections, follower);
        follower.addChangeListener(() -> serveOnceConfigured(follower, proxy));
        register(metrics, connections, servers, follower, feed, pools, exchange, limits);
        mKernel.register(WaitingReporter.NAME, waiting);
    }

    private ChangeFeed feed(
            GatewaySettings settings,
            KeyValueStore store,
            TargetConnections connections,
            RandomGenerator random,
            EntryMetrics metrics) {
        return new ChangeFeed(
                settings,
                store,
                connections.client(),
                random,
                new UpdateStatus(mClock, metrics),
                mLog);
    }

    private GatewayServers servers(
            EntryMetrics metrics,
            ProxyHandler proxy,
            TargetConnections connections,
            StoreFollower follower) {
        return new GatewayServers(
                mSettings,
                mState,
                metrics,
                proxy,
                new DiscoveryHandler(mSettings, mState, follower),
                new MirrorService(mLoop, mFeed, mLoadReporter, mLog),
                connections,
                mClock,
                follower);
    }

    /** Records the exceptions of events and of updates from the store. */
    private void record(UnexpectedFailures failures, StoreFollower follower) {
        mLoop.setFailureListener(
                failure -> failures.onTaskFailed(UnexpectedFailures.Step.TIMER, failure));
        follower.setFailureListener(
                failure -> failures.onTaskFailed(UnexpectedFailures.Step.STORE_UPDATE, failure));
    }

    /** Registers the services in the order in which they start. */
    private void register(
            EntryMetrics metrics,
            TargetConnections connections,
            GatewayServers servers,
            StoreFollower follower,
            ChangeFeed feed,
            ServicePools pools,
            PeerExchange exchange,
            CustomerLimits limits) {
        mKernel.register(ControlLoop.NAME, mLoop)
                .register(EntryMetrics.NAME, metrics)
                .register(TargetConnections.NAME, connections)
                .register(GatewayServers.NAME, servers)
                .register(StoreFollower.NAME, follower)
                .register(ChangeFeed.NAME, feed)
                .register(SelfRegistration.NAME, mRegistration)
                .register(ServicePools.NAME, pools)
                .register(LoadReporter.NAME, mLoadReporter)
                .register(PeerExchange.NAME, exchange)
                .register(CustomerLimits.NAME, limits);
    }

    private static ServicePools pools(
            GatewaySettings settings,
            Clock clock,
            EntryMetrics metrics,
            EventLog log,
            TargetConnections connections,
            LimitingVmsSource limitingVms) {
        return new ServicePools(
                clock,
                new SplittableRandom(),
                settings,
                metrics,
                log,
                connections.reachability(),
                limitingVms);
    }

    private static RequestAuthenticator authenticator(
            GatewaySettings settings, StoreFollower follower, ChangeFeed feed) {
        return new RequestAuthenticator(
                follower, settings.revocationLimit(), feed.status()::ageMillis);
    }

    private void serveOnceConfigured(StoreFollower follower, ProxyHandler proxy) {
        if (mState.phase() == GatewayState.Phase.STARTING && follower.view().routes().isPresent()) {
            // After the other listeners, so that the pools of the services are known.
            mLoop.execute(
                    () -> {
                        mState.advance(GatewayState.Phase.SERVING);
                        proxy.onConfigured();
                    });
        }
    }

    private static void onRequest(
            ServicePools pools, PeerExchange exchange, WaitingReporter waiting) {
        waiting.onRequest();
        pools.onRequest();
        exchange.onRequest();
    }

    private KeyValueStore store(
            GatewaySettings settings,
            TargetConnections connections,
            EntryMetrics metrics,
            EventLog log) {
        KeyValueStore store =
                HttpKeyValueStore.of(
                        settings.store(), STORE_TIMEOUT, connections.client(), this::onStoreEpoch);
        return new CountedStore(store, mLoop, metrics, log);
    }

    private void onStoreEpoch(long epoch) {
        mFeed.onStoreEpoch(epoch);
    }

    /** Starts all services. Requests are served once a configuration is loaded. */
    public CompletableFuture<Void> start() {
        return mKernel.start();
    }

    /**
     * Drains the VM: removes it from discovery responses and serves the remaining requests for a
     * limited time. Those that remain are refused if they were not sent to a target, and otherwise
     * get a response that leaves open whether they ran.
     *
     * @return a future that completes when no requests are in flight, no response is on its way,
     *     and the process may exit
     */
    public CompletableFuture<Void> drain() {
        mState.advance(GatewayState.Phase.DRAINING);
        mLoadReporter.onStop();
        mLog.write(EventLog.Kind.LIFE, "leaving", mLoadReporter::describeStop);
        Futures.whenDone(
                mRegistration.deregister(),
                (ignored, failure) -> {
                    if (failure != null) {
                        mLog.write(
                                EventLog.Kind.DEPENDENCY,
                                "leave_not_told",
                                line -> line.put("cause", failure.getMessage()));
                    }
                });
        Duration maxDrain = mSettings.stopTimeout().minus(EXIT_RESERVE);
        Duration accepting = min(DISCOVERY_EXPIRY, mSettings.stopTimeout().minus(CLOSING_PERIOD));
        long endMillis = mLoop.nowMillis() + maxDrain.toMillis();
        mLoop.schedule(maxDrain.minus(LAST_SEND_RESERVE), mProxy::refuseUnsent);
        return delay(accepting)
                .thenRun(() -> mState.advance(GatewayState.Phase.CLOSING))
                .thenCompose(ignored -> delay(min(DISCOVERY_EXPIRY, maxDrain).minus(accepting)))
                .thenCompose(ignored -> whenIdle(endMillis))
                .thenCompose(ignored -> endRemaining(endMillis));
    }

    private CompletableFuture<Void> endRemaining(long endMillis) {
        if (!mLoadReporter.hasRequestsInFlight()) {
            return CompletableFuture.completedFuture(null);
        }
        mProxy.endBeforeStop();
        return whenIdle(endMillis + DELIVERY_PERIOD.toMillis());
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /**
     * Completes once no requests are in flight and all responses are delivered as far as that is
     * known, or at the given time.
     *
     * <p>Guards against a process that is killed at the end of its stop timeout because it waits
     * for that time on a VM whose timers run late.
     */
    private CompletableFuture<Void> whenIdle(long endMillis) {
        boolean isIdle =
                !mLoadReporter.hasRequestsInFlight()
                        && !mKernel.find(GatewayServers.NAME, GatewayServers.class)
                                .hasLingeringConnections();
        if (isIdle || mLoop.nowMillis() >= endMillis) {
            return CompletableFuture.completedFuture(null);
        }
        return delay(IDLE_POLL_INTERVAL).thenCompose(ignored -> whenIdle(endMillis));
    }

    /** Logs the end of the drain, with what is left and how the responses since its start ended. */
    public void logStopped() {
        GatewayServers servers = mKernel.find(GatewayServers.NAME, GatewayServers.class);
        mLog.write(
                EventLog.Kind.LIFE,
                "stopped",
                line -> {
                    mLoadReporter.describeStop(line);
                    servers.describeLingering(line);
                });
    }

    /** Stops all services without draining. */
    public CompletableFuture<Void> stopNow() {
        // The control loop first, because its events use the services.
        return mLoop.cancelTimers()
                .thenCompose(ignored -> mLoop.stop())
                .thenCompose(ignored -> mKernel.stop());
    }

    /** Returns the services, whose state tests check. */
    Kernel kernel() {
        return mKernel;
    }

    private CompletableFuture<Void> delay(Duration delay) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        mLoop.schedule(delay.isNegative() ? Duration.ZERO : delay, () -> elapsed.complete(null));
        return elapsed;
    }
}
