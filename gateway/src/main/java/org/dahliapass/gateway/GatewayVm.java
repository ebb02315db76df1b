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
import org.dahliapass.traffic.EntryMetrics;

/** One gateway VM, put together from its services; a process holds one, tests hold several. */
public final class GatewayVm {
    /** Well over the store's time for an answer also when it is slow, 4 ms times 60. */
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_200);

    /**
     * After this time no caller uses an answer to an ask any more that named this VM: some keep it
     * three times as long as they are told, 1.5 s.
     */
    private static final Duration ASKS_RUN_OUT = Duration.ofMillis(4_600);

    /**
     * Requests are taken for as long as they can run to their end: what is left of the grace then
     * has room for a request of 2.3 s and the reserve.
     */
    private static final Duration ROOM_FOR_A_REQUEST = Duration.ofMillis(3_200);

    /**
     * What is left of the grace when the process begins to end by itself at the latest, for the
     * late timers of a small VM that is busy.
     */
    private static final Duration RESERVE = Duration.ofMillis(900);

    /** How often a VM that leaves looks whether its last request is answered. */
    private static final Duration LOOK = Duration.ofMillis(50);

    private final GatewaySettings mSettings;
    private final GatewayState mState = new GatewayState();
    private final EventLog mLog;
    private final ControlLoop mLoop;
    private final SelfRegistration mEntry;
    private final LoadReporter mLoad;
    private final Kernel mKernel = new Kernel();

    /**
     * Puts a VM together.
     *
     * @param settings its settings
     * @param clock the time that all its decisions follow
     * @param log where its decisions are told
     */
    public GatewayVm(GatewaySettings settings, Clock clock, EventLog log) {
        RandomGenerator random = new SplittableRandom();
        mSettings = settings;
        mLog = log;
        mLoop = new ControlLoop(clock);
        EntryMetrics metrics = new EntryMetrics();
        TargetConnections connections = new TargetConnections(clock);
        KeyValueStore store = store(settings, connections, metrics, log);
        StoreFollower follower = new StoreFollower(settings.vmsPerZone(), log);
        ChangeFeed feed = new ChangeFeed(settings, store, connections.client(), random, log);
        ServicePools pools = new ServicePools(clock, random, settings, metrics, log);
        mEntry = new SelfRegistration(store, settings.self(), feed::followsStore, log);
        mLoad = new LoadReporter(clock, metrics, log);
        PeerExchange work = new PeerExchange(settings, connections.loops(), log);
        PoisonGuard guard =
                new PoisonGuard(settings, clock, connections, store, follower, work, metrics, log);
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
                        mLoad,
                        feed::isUpToDate,
                        () -> onWork(pools, work),
                        guard);
        follower.addChangeListener(
                () ->
                        follower.view()
                                .routes()
                                .ifPresent(found -> mState.advance(GatewayState.Phase.SERVING)));
        mKernel.register(ControlLoop.NAME, mLoop)
                .register(EntryMetrics.NAME, metrics)
                .register(TargetConnections.NAME, connections)
                .register(
                        GatewayServers.NAME,
                        new GatewayServers(
                                settings,
                                mState,
                                metrics,
                                proxy,
                                new DiscoveryHandler(settings, mState, follower),
                                new MirrorService(mLoop, feed, mLoad),
                                connections.loops(),
                                clock,
                                follower))
                .register(StoreFollower.NAME, follower)
                .register(ChangeFeed.NAME, feed)
                .register(SelfRegistration.NAME, mEntry)
                .register(ServicePools.NAME, pools)
                .register(LoadReporter.NAME, mLoad)
                .register(PeerExchange.NAME, work);
    }

    private static void onWork(ServicePools pools, PeerExchange work) {
        pools.onRequest();
        work.onRequest();
    }

    private KeyValueStore store(
            GatewaySettings settings,
            TargetConnections connections,
            EntryMetrics metrics,
            EventLog log) {
        KeyValueStore store =
                new HttpKeyValueStore(settings.store(), STORE_TIMEOUT, connections.client());
        return new CountedStore(store, mLoop, metrics, log);
    }

    /** Starts all services; requests are served once configuration is there. */
    public CompletableFuture<Void> start() {
        return mKernel.start();
    }

    /**
     * Drains: nobody is sent here any more, and what comes all the same is served for a while.
     *
     * @return completes when nothing is in flight any more, and the process may end
     */
    public CompletableFuture<Void> drain() {
        mState.advance(GatewayState.Phase.DRAINING);
        mLog.write(EventLog.Kind.LIFE, "leaving", line -> {});
        Futures.whenDone(
                mEntry.deregister(),
                (ignored, failure) -> {
                    if (failure != null) {
                        mLog.write(
                                EventLog.Kind.DEPENDENCY,
                                "leave_not_told",
                                line -> line.put("cause", failure.getMessage()));
                    }
                });
        Duration latest = mSettings.stopTimeout().minus(RESERVE);
        Duration takes = shorter(ASKS_RUN_OUT, mSettings.stopTimeout().minus(ROOM_FOR_A_REQUEST));
        long endMillis = mLoop.nowMillis() + latest.toMillis();
        return after(takes)
                .thenRun(() -> mState.advance(GatewayState.Phase.CLOSING))
                .thenCompose(ignored -> after(shorter(ASKS_RUN_OUT, latest).minus(takes)))
                .thenCompose(ignored -> idle(endMillis));
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /**
     * Completes once nothing is in flight, or at a given time.
     *
     * <p>Guards against a process that is killed at the end of its grace because it waited for that
     * end on a VM whose timers run late: most VMs have nothing left to wait for long before it.
     */
    private CompletableFuture<Void> idle(long endMillis) {
        if (!mLoad.hasRequestsInFlight() || mLoop.nowMillis() >= endMillis) {
            return CompletableFuture.completedFuture(null);
        }
        return after(LOOK).thenCompose(ignored -> idle(endMillis));
    }

    /** Stops at once. */
    public CompletableFuture<Void> stopNow() {
        return mLoop.cancelTimers().thenCompose(ignored -> mKernel.stop());
    }

    private CompletableFuture<Void> after(Duration delay) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        mLoop.schedule(delay.isNegative() ? Duration.ZERO : delay, () -> over.complete(null));
        return over;
    }
}
