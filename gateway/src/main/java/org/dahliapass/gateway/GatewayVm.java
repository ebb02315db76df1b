package org.dahliapass.gateway;

import java.time.Clock;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.routing.ShareChooser;
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
     * Requests taken earlier after SIGTERM than this run to their end; callers have been told to go
     * elsewhere by then.
     */
    private static final Duration TAKES_REQUESTS = Duration.ofMillis(2_800);

    /**
     * What is left of the grace when the process begins to end by itself. The runtime then still
     * waits 300 ms for threads that wait in the kernel, as those of the network do: a process was
     * gone 340 ms after its last line. The rest is for the late timers of a small VM that is busy.
     */
    private static final Duration RESERVE = Duration.ofMillis(900);

    private final GatewaySettings mSettings;
    private final GatewayState mState = new GatewayState();
    private final EventLog mLog;
    private final ControlLoop mLoop;
    private final FleetEntry mEntry;
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
        KeyValueStore store =
                new HttpKeyValueStore(settings.store(), STORE_TIMEOUT, connections.client());
        StoreFollower follower = new StoreFollower(settings.vmsPerZone(), log);
        ChangeFeed feed = new ChangeFeed(settings, store, connections.client(), random, log);
        ServicePools pools = new ServicePools(clock, random, settings, metrics, log);
        mEntry = new FleetEntry(store, settings.self(), feed::followsStore, log);
        VmLoad load = new VmLoad(clock, metrics, log);
        WorkExchange work = new WorkExchange(settings, connections.loops(), log);
        ProxyHandler proxy =
                new ProxyHandler(
                        clock,
                        settings,
                        mState,
                        follower,
                        pools,
                        new ShareChooser(random),
                        connections,
                        log,
                        new GatewayAnswers(random),
                        load,
                        work::onWork);
        follower.onChange(
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
                                new AskHandler(settings, mState, follower),
                                new MirrorService(mLoop, feed, load),
                                connections.loops(),
                                clock,
                                follower))
                .register(StoreFollower.NAME, follower)
                .register(ChangeFeed.NAME, feed)
                .register(FleetEntry.NAME, mEntry)
                .register(ServicePools.NAME, pools)
                .register(VmLoad.NAME, load)
                .register(WorkExchange.NAME, work);
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
    public CompletableFuture<Void> leave() {
        mState.advance(GatewayState.Phase.LEAVING);
        mLog.write(EventLog.Kind.LIFE, "leaving", line -> {});
        Futures.whenDone(
                mEntry.leave(),
                (ignored, failure) -> {
                    if (failure != null) {
                        mLog.write(
                                EventLog.Kind.DEPENDENCY,
                                "leave_not_told",
                                line -> line.put("cause", failure.getMessage()));
                    }
                });
        return after(TAKES_REQUESTS)
                .thenRun(() -> mState.advance(GatewayState.Phase.CLOSING))
                .thenCompose(
                        ignored ->
                                after(mSettings.stopGrace().minus(TAKES_REQUESTS).minus(RESERVE)));
    }

    /** Stops at once. */
    public CompletableFuture<Void> stopNow() {
        return mLoop.stopTimers().thenCompose(ignored -> mKernel.stop());
    }

    private CompletableFuture<Void> after(Duration delay) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        mLoop.after(delay.isNegative() ? Duration.ZERO : delay, () -> over.complete(null));
        return over;
    }
}
