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

/** An entry VM with its services; a process runs one, tests run several. */
public final class EntryVm {
    private static final ComponentLog LOG = ComponentLog.of("vm");
    private static final int MAX_OUTCOME_SERIES = 1000;
    private static final Duration PLATFORM_CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REGISTER_RETRY_DELAY = Duration.ofSeconds(2);
    private static final int INCARNATION_RANDOM_BITS = 20;

    /** Gossip periods until discovery on all VMs omits a leaving VM. */
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
     * Creates a VM.
     *
     * @param settings the VM's settings
     * @param clock the clock for all decisions
     * @param stopRequested called when an operator requests a drain or when a newer incarnation of
     *     this VM has joined
     */
    public EntryVm(VmSettings settings, Clock clock, Runnable stopRequested) {
        this(settings, clock, LinkFilter.ALLOW_ALL, stopRequested);
    }

    /** Creates a VM whose links to other VMs can be filtered, for tests. */
    public EntryVm(VmSettings settings, Clock clock, LinkFilter filter, Runnable stopRequested) {
        RandomGenerator random = new SplittableRandom();
        mSettings = settings;
        mIdentity = new VmIdentity(settings.name(), newIncarnation(clock, random));
        mLoop = new ControlLoop(clock);
        EntryMetrics metrics = new EntryMetrics();
        RefusalLog refusals = new RefusalLog();
        OutcomeHistory outcomes = new OutcomeHistory(MAX_OUTCOME_SERIES);
        mPeers = new PeerLink(mIdentity, settings, filter);
        mCallers =
                new CallerServer(
                        settings,
                        mIdentity,
                        clock,
                        new CallerResponder(clock, metrics, outcomes, refusals),
                        mReadiness);
        mOperators =
                new OperatorServer(
                        settings,
                        kernel -> newResponses(kernel, clock, refusals, outcomes),
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
            Kernel kernel, Clock clock, RefusalLog refusals, OutcomeHistory outcomes) {
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
                outcomes);
    }

    /**
     * Combines the time, which orders incarnations, with random bits, which keep them distinct even
     * if the clock was set back. A reused incarnation could respond for keys of its predecessor.
     */
    private static long newIncarnation(Clock clock, RandomGenerator random) {
        long randomPart = random.nextLong(1L << INCARNATION_RANDOM_BITS);
        return (clock.millis() << INCARNATION_RANDOM_BITS) | randomPart;
    }

    /** Starts all services; requests are served once a configuration is in force. */
    public CompletableFuture<Void> start() {
        return mKernel.start().thenRun(this::register);
    }

    /**
     * Stops gracefully: discovery omits this VM at once, and it serves until earlier discovery
     * responses have expired and requests in flight have completed. Queued requests still need the
     * timers, so these run until the caller server has drained.
     */
    public CompletableFuture<Void> leaveAndStop() {
        mReadiness.transition(Readiness.State.SERVING, Readiness.State.LEAVING);
        LOG.info("Leaving; serving until earlier discovery responses have expired.");
        return mFleet.leave()
                .thenCompose(ignored -> registerLeaving())
                .thenCompose(ignored -> awaitDiscoveryExpiry())
                .thenCompose(ignored -> mCallers.stop())
                .thenCompose(ignored -> stopNow());
    }

    /** Retries in the background, since the VM serves without the VM list. */
    private void register() {
        if (!mSettings.announce() || mFleet.isLeaving()) {
            return;
        }
        Futures.whenDone(
                mFleet.register(false),
                (ignored, failure) -> {
                    if (failure != null) {
                        LOG.info(
                                "Registration in the VM list failed; retrying: "
                                        + failure.getMessage());
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
                            LOG.warn(
                                    "Marking this VM as leaving in the VM list failed: "
                                            + failure.getMessage());
                            return null;
                        });
    }

    private CompletableFuture<Void> awaitDiscoveryExpiry() {
        CompletableFuture<Void> expired = new CompletableFuture<>();
        Duration spread = mSettings.gossipPeriod().multipliedBy(GOSSIP_SPREAD_PERIODS);
        mLoop.schedule(mSettings.discoveryTimeToLive().plus(spread), () -> expired.complete(null));
        return expired;
    }

    /** Stops without leaving the fleet, which other VMs see as a crash; for tests. */
    public CompletableFuture<Void> stopNow() {
        return mLoop.cancelTimers().thenCompose(ignored -> mKernel.stop());
    }

    /** Returns the identity of this VM, including its incarnation. */
    public VmIdentity identity() {
        return mIdentity;
    }

    /** Returns the address for callers; valid once started. */
    public Endpoint callerEndpoint() {
        return mCallers.endpoint();
    }

    /** Returns the address for operators; valid once started. */
    public Endpoint operatorEndpoint() {
        return mOperators.endpoint();
    }

    /** Returns the line that tells a launcher the addresses of a ready VM. */
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
