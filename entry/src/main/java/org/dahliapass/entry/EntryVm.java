package org.dahliapass.entry;

import java.time.Clock;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.model.burn.OutcomeHistory;
import org.dahliapass.registry.HttpStoreClient;
import org.dahliapass.registry.HttpVmListClient;
import org.dahliapass.traffic.EntryMetrics;
import org.dahliapass.wire.LinkFilter;

/** One entry VM, put together from its services; a process holds one, tests hold several. */
public final class EntryVm {
    private static final ComponentLog LOG = ComponentLog.of("vm");
    private static final int MAX_OUTCOME_SERIES = 1000;
    private static final Duration PLATFORM_CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REGISTER_RETRY_DELAY = Duration.ofSeconds(2);
    private static final int INCARNATION_RANDOM_BITS = 20;

    /** How many gossip periods pass until no VM names one that is leaving. */
    private static final int GOSSIP_SPREAD_PERIODS = 5;

    private final VmSettings mSettings;
    private final VmIdentity mIdentity;
    private final Readiness mReadiness = new Readiness();
    private final ControlLoop mLoop;
    private final FleetService mFleet;
    private final CallerServer mCallers;
    private final OperatorServer mOperators;
    private final PeerLink mPeers;
    private final Kernel mKernel = new Kernel();

    /**
     * Puts a VM together.
     *
     * @param settings its settings
     * @param clock the time that all its decisions follow
     * @param stopRequested run when an operator asks for a drain, or another life replaced this one
     */
    public EntryVm(VmSettings settings, Clock clock, Runnable stopRequested) {
        this(settings, clock, LinkFilter.ALLOW_ALL, stopRequested);
    }

    /** Puts a VM together whose links to other VMs can be cut; for failure tests. */
    public EntryVm(VmSettings settings, Clock clock, LinkFilter filter, Runnable stopRequested) {
        RandomGenerator random = new SplittableRandom();
        mSettings = settings;
        mIdentity = new VmIdentity(settings.name(), newIncarnation(clock, random));
        mLoop = new ControlLoop(clock);
        EntryMetrics metrics = new EntryMetrics();
        RefusalLog refusals = new RefusalLog();
        OutcomeHistory burn = new OutcomeHistory(MAX_OUTCOME_SERIES);
        mPeers = new PeerLink(mIdentity, settings, filter);
        mCallers =
                new CallerServer(
                        settings,
                        mIdentity,
                        clock,
                        new CallerResponder(clock, metrics, burn, refusals),
                        mReadiness);
        mOperators =
                new OperatorServer(
                        settings,
                        kernel -> newResponses(kernel, clock, refusals, burn),
                        mReadiness,
                        stopRequested);
        mFleet =
                new FleetService(
                        mIdentity,
                        settings,
                        random,
                        new HttpVmListClient(settings.vmList(), PLATFORM_CALL_TIMEOUT),
                        stopRequested);
        mKernel.register(ControlLoop.NAME, mLoop)
                .register(EntryMetrics.NAME, metrics)
                .register(ExplanationLog.NAME, new ExplanationLog(metrics))
                .register(TargetClients.NAME, new TargetClients(clock))
                .register(PeerLink.NAME, mPeers)
                .register(AtMostOnceService.NAME, new AtMostOnceService(mIdentity, settings, clock))
                .register(CallerServer.NAME, mCallers)
                .register(OperatorServer.NAME, mOperators)
                .register(FleetService.NAME, mFleet)
                .register(
                        ConfigurationService.NAME,
                        new ConfigurationService(
                                new HttpStoreClient(settings.store(), PLATFORM_CALL_TIMEOUT),
                                random,
                                mReadiness))
                .register(ServiceTable.NAME, new ServiceTable(clock, random, settings))
                .register(EvidenceExchange.NAME, new EvidenceExchange(settings))
                .register(HealthPoller.NAME, new HealthPoller())
                .register(IsolationDetector.NAME, new IsolationDetector(mReadiness));
    }

    private OperatorResponses newResponses(
            Kernel kernel, Clock clock, RefusalLog refusals, OutcomeHistory burn) {
        return new OperatorResponses(
                clock,
                mLoop,
                mFleet,
                mReadiness,
                kernel.find(ConfigurationService.NAME, ConfigurationService.class),
                kernel.find(ServiceTable.NAME, ServiceTable.class),
                kernel.find(AtMostOnceService.NAME, AtMostOnceService.class),
                kernel.find(ExplanationLog.NAME, ExplanationLog.class),
                refusals,
                burn);
    }

    /**
     * Guards against two lives of one VM with the same incarnation, of which the second would
     * answer for keys that the first ran. Wall time orders the lives; the random part keeps them
     * apart even if the clock was set back.
     */
    private static long newIncarnation(Clock clock, RandomGenerator random) {
        long part = random.nextLong(1L << INCARNATION_RANDOM_BITS);
        return (clock.millis() << INCARNATION_RANDOM_BITS) | part;
    }

    /** Starts all services; requests are served once configuration is there. */
    public CompletableFuture<Void> start() {
        return mKernel.start().thenRun(this::register);
    }

    /**
     * Stops gracefully: asks stop naming this VM at once; it serves until every answer that named
     * it has run out and what is in flight has ended. What still waits for a slot is served or
     * refused meanwhile, so the periodic events go on until the callers' server has drained.
     */
    public CompletableFuture<Void> leaveAndStop() {
        mReadiness.transition(Readiness.State.SERVING, Readiness.State.LEAVING);
        LOG.info("Leaving; serving on until answers to asks have run out.");
        return mFleet.leave()
                .thenCompose(ignored -> registerLeaving())
                .thenCompose(ignored -> awaitDiscoveryExpiry())
                .thenCompose(ignored -> mCallers.stop())
                .thenCompose(ignored -> stopNow());
    }

    /** The VM list may be slow or away; the VM serves all the same and tries again. */
    private void register() {
        if (!mSettings.announce() || mFleet.isLeaving()) {
            return;
        }
        Futures.whenDone(
                mFleet.register(false),
                (ignored, failure) -> {
                    if (failure != null) {
                        LOG.info("The VM list gave no word: " + failure.getMessage());
                        mLoop.schedule(REGISTER_RETRY_DELAY, this::register);
                    }
                });
    }

    private CompletableFuture<Void> registerLeaving() {
        if (!mSettings.announce()) {
            return CompletableFuture.completedFuture(null);
        }
        return mFleet.register(true)
                .exceptionally(
                        failure -> {
                            LOG.warn("The VM list didn't take the leave: " + failure.getMessage());
                            return null;
                        });
    }

    private CompletableFuture<Void> awaitDiscoveryExpiry() {
        CompletableFuture<Void> over = new CompletableFuture<>();
        Duration spread = mSettings.gossipPeriod().multipliedBy(GOSSIP_SPREAD_PERIODS);
        mLoop.schedule(mSettings.discoveryTimeToLive().plus(spread), () -> over.complete(null));
        return over;
    }

    /** Stops at once, as a crash would look to the others; for tests. */
    public CompletableFuture<Void> stopNow() {
        return mLoop.cancelTimers().thenCompose(ignored -> mKernel.stop());
    }

    /** Returns this life of this VM. */
    public VmIdentity identity() {
        return mIdentity;
    }

    /** Returns where callers reach the VM; valid once started. */
    public Endpoint callerEndpoint() {
        return mCallers.endpoint();
    }

    /** Returns where operators reach the VM; valid once started. */
    public Endpoint operatorEndpoint() {
        return mOperators.endpoint();
    }

    /** Returns the line that tells a launcher that the VM is ready and where it listens. */
    public String readyLine() {
        return "ready vm="
                + mIdentity.name()
                + " callers="
                + callerEndpoint()
                + " peers="
                + mPeers.endpoint()
                + " operators="
                + operatorEndpoint();
    }
}
