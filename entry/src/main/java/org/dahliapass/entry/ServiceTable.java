package org.dahliapass.entry;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.HealthReport;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.health.ServiceView;
import org.dahliapass.decisions.health.TargetHealth;
import org.dahliapass.decisions.health.TargetStatus;
import org.dahliapass.decisions.traffic.TargetInFlight;
import org.dahliapass.decisions.traffic.WeightedTarget;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.TargetInstance;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.traffic.EntryMetrics;
import org.dahliapass.traffic.ServiceRuntime;
import org.dahliapass.traffic.TargetEventListener;

/**
 * The services that this VM serves, with their runtimes and the health of their targets.
 *
 * <p>Health is confined to the control thread; traffic threads read a published map of runtimes.
 */
public final class ServiceTable implements KernelService, TargetEventListener {
    /** The name under which the table is registered with the kernel. */
    public static final String NAME = "services";

    private final Clock mClock;
    private ControlLoop mLoop;
    private final RandomGenerator mRandom;
    private EntryMetrics mMetrics;
    private ExplanationLog mExplanations;
    private FleetService mFleet;
    private ConfigurationService mConfiguration;
    private final VmSettings mSettings;
    private final Map<ServiceId, TargetHealth> mHealth = new HashMap<>();
    private final Map<ServiceId, ServiceTemplate> mTemplates = new HashMap<>();
    private final Map<ServiceId, ServiceView> mPublished = new HashMap<>();
    private BiConsumer<ServiceTemplate, EvidenceReport> mUrgentReportSender =
            (template, report) -> {};
    private volatile Map<ServiceId, ServiceRuntime> mRuntimes = Map.of();

    ServiceTable(Clock clock, RandomGenerator random, VmSettings settings) {
        mClock = clock;
        mRandom = random;
        mSettings = settings;
    }

    /** Returns the runtime of a service, or empty if this VM does not serve it. */
    Optional<ServiceRuntime> find(ServiceId id) {
        return Optional.ofNullable(mRuntimes.get(id));
    }

    /** Returns the runtimes of all services that this VM serves. */
    Collection<ServiceRuntime> runtimes() {
        return mRuntimes.values();
    }

    @Override
    public void onOutcome(
            ServiceId service, Endpoint target, String kind, Outcome outcome, long latencyMillis) {
        mLoop.execute(() -> recordOutcome(service, target, kind, outcome, latencyMillis));
    }

    private void recordOutcome(
            ServiceId service, Endpoint target, String kind, Outcome outcome, long latencyMillis) {
        long now = mClock.millis();
        withHealth(service, health -> health.onOutcome(target, kind, outcome, latencyMillis, now));
        if (outcome.isFailure()) {
            publishIfChanged(service);
            sendUrgentReport(service);
        }
    }

    /** Failures are reported at once; successes wait for the next periodic report. */
    private void sendUrgentReport(ServiceId service) {
        TargetHealth health = mHealth.get(service);
        if (health == null) {
            return;
        }
        health.takeUrgentReport(mClock.millis())
                .ifPresent(report -> mUrgentReportSender.accept(mTemplates.get(service), report));
    }

    /** Sets the sender of urgent reports to the cell; only before the start. */
    void setUrgentReportSender(BiConsumer<ServiceTemplate, EvidenceReport> sender) {
        mUrgentReportSender = sender;
    }

    @Override
    public void onDraining(ServiceId service, Endpoint target) {
        mLoop.execute(
                () -> {
                    withHealth(
                            service,
                            health ->
                                    health.onLeaving(
                                            target,
                                            "it refused work because it drains",
                                            mClock.millis()));
                    publish(service);
                });
    }

    /** Records a target's health and load report, or that there is none; control thread only. */
    void onReports(ServiceId service, Endpoint target, Optional<HealthReport> report, double load) {
        long now = mClock.millis();
        withHealth(
                service,
                health -> {
                    health.onProbe(target, report.isPresent(), now);
                    report.ifPresent(found -> health.onHealthReport(target, found, now));
                    health.onLoadReport(target, load);
                });
        if (report.filter(HealthReport::rejectsNewRequests).isPresent()) {
            publish(service);
        }
    }

    /** Records evidence from another VM of the cell; control thread only. */
    void onPeerReport(EvidenceReport report, List<TargetInFlight> inFlight) {
        withHealth(report.service(), health -> health.onPeerEvidence(report, mClock.millis()));
        publishIfChanged(report.service());
        find(report.service())
                .ifPresent(
                        runtime ->
                                inFlight.forEach(
                                        use ->
                                                runtime.onPeerInFlight(
                                                        report.observer(),
                                                        use.target(),
                                                        use.inFlight())));
    }

    /** Drains the evidence about a service since the last report; control thread only. */
    Optional<EvidenceReport> drainReport(ServiceId service) {
        return Optional.ofNullable(mHealth.get(service))
                .map(health -> health.takeReport(mClock.millis()));
    }

    /** Returns the status of a service's targets; control thread only. */
    List<TargetStatus> statuses(ServiceId service) {
        TargetHealth health = mHealth.get(service);
        return health == null ? List.of() : List.copyOf(health.view().targets().values());
    }

    /** Returns the templates of the services that this VM serves; control thread only. */
    List<ServiceTemplate> servedTemplates() {
        return List.copyOf(mTemplates.values());
    }

    /** Updates the table to the current configuration and membership; control thread only. */
    void refresh() {
        Map<ServiceId, ServiceRuntime> runtimes = new HashMap<>();
        VmIdentity self = mFleet.view().self().identity();
        for (ServiceTemplate template : mConfiguration.table().provided()) {
            if (mFleet.isInCell(template.id(), template.cellSize())) {
                List<VmIdentity> cell = mFleet.cellOf(template).stream().map(Vm::identity).toList();
                runtimes.put(template.id(), updateRuntime(template, self, cell));
            }
        }
        mHealth.keySet().retainAll(runtimes.keySet());
        mPublished.keySet().retainAll(runtimes.keySet());
        mTemplates.keySet().retainAll(runtimes.keySet());
        mRuntimes = Map.copyOf(runtimes);
        runtimes.keySet().forEach(this::publish);
    }

    private ServiceRuntime updateRuntime(
            ServiceTemplate template, VmIdentity self, List<VmIdentity> cell) {
        ServiceTemplate before = mTemplates.put(template.id(), template);
        ServiceRuntime runtime = mRuntimes.get(template.id());
        if (runtime != null) {
            runtime.onTemplate(template);
        } else {
            runtime =
                    new ServiceRuntime(
                            mSettings.availabilityZone(),
                            template,
                            mClock,
                            mRandom,
                            this,
                            mMetrics);
        }
        runtime.onCell(self, cell);
        TargetHealth health = mHealth.get(template.id());
        if (health == null) {
            mHealth.put(template.id(), newHealth(template, self));
        } else if (!template.equals(before)) {
            health.update(template, mClock.millis());
        }
        return runtime;
    }

    private TargetHealth newHealth(ServiceTemplate template, VmIdentity self) {
        return new TargetHealth(self, mSettings.availabilityZone(), template, mClock.millis());
    }

    /** Updates and publishes target health each control period; control thread only. */
    void tick() {
        for (ServiceId id : mRuntimes.keySet()) {
            withHealth(id, health -> health.onTick(mClock.millis()));
            publish(id);
            mRuntimes.get(id).runMaintenance();
        }
    }

    /** Publishes a decision between two ticks without waiting for the next tick. */
    private void publishIfChanged(ServiceId id) {
        TargetHealth health = mHealth.get(id);
        if (health != null && !health.view().equals(mPublished.get(id))) {
            publish(id);
        }
    }

    private void publish(ServiceId id) {
        ServiceRuntime runtime = mRuntimes.get(id);
        TargetHealth health = mHealth.get(id);
        if (runtime == null || health == null) {
            return;
        }
        mPublished.put(id, health.view());
        health.takeExplanations().forEach(mExplanations::add);
        List<WeightedTarget> targets = new ArrayList<>();
        for (TargetStatus status : health.view().targets().values()) {
            double weight = status.state().receivesRequests() ? status.weight() : 0;
            targets.add(
                    new WeightedTarget(
                            TargetInstance.atFixedAddress(status.target().endpoint()),
                            status.target().availabilityZone(),
                            weight,
                            status.acceptsAtMostOnce()));
        }
        runtime.onTargets(targets);
    }

    private void withHealth(ServiceId service, Consumer<TargetHealth> event) {
        TargetHealth health = mHealth.get(service);
        if (health != null) {
            event.accept(health);
        }
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mMetrics = kernel.find(EntryMetrics.NAME, EntryMetrics.class);
        mExplanations = kernel.find(ExplanationLog.NAME, ExplanationLog.class);
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mConfiguration = kernel.find(ConfigurationService.NAME, ConfigurationService.class);
        mFleet.onChange(this::refresh);
        mConfiguration.onChange(this::refresh);
        mLoop.execute(this::refresh);
        mLoop.scheduleWithFixedDelay(mSettings.controlPeriod(), this::tick);
        return CompletableFuture.completedFuture(null);
    }
}
