package org.dahliapass.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.ReportPacer;
import org.dahliapass.decisions.traffic.TargetInFlight;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.traffic.ServiceRuntime;

/**
 * Sends evidence about target health to the other VMs of each cell, within a byte rate budget.
 *
 * <p>Shared evidence lets a cell detect failing targets sooner than a single VM could.
 */
final class EvidenceExchange implements KernelService {
    /** The name under which the exchange is registered with the kernel. */
    static final String NAME = "evidence";

    /** Below the window of {@link IsolationDetector}, so that idle cells don't appear isolated. */
    private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(1500);

    private static final ServiceId NO_SERVICE = new ServiceId("", "");

    private final Duration mPeriod;
    private final long mBytesPerSecond;
    private final Map<ServiceId, ReportPacer> mPacers = new HashMap<>();
    private final Map<ServiceId, Long> mLastSentMillis = new HashMap<>();
    private ControlLoop mLoop;
    private ServiceTable mServices;
    private FleetService mFleet;
    private EvidenceLink mLink;

    EvidenceExchange(VmSettings settings) {
        mPeriod = settings.controlPeriod();
        mBytesPerSecond = settings.evidenceBytesPerSecond();
    }

    private void sendReports() {
        List<ServiceTemplate> served = mServices.servedTemplates();
        mPacers.keySet().retainAll(served.stream().map(ServiceTemplate::id).toList());
        Set<Vm> heartbeatPeers = new LinkedHashSet<>();
        for (ServiceTemplate template : served) {
            long budget = Math.max(1, mBytesPerSecond / served.size());
            ReportPacer pacer =
                    mPacers.computeIfAbsent(
                            template.id(), id -> new ReportPacer(budget, mPeriod.toMillis()));
            if (pacer.isDue(mLoop.nowMillis())) {
                sendReports(template, pacer);
            } else if (isHeartbeatDue(template.id())) {
                heartbeatPeers.addAll(peers(template));
                mLastSentMillis.put(template.id(), mLoop.nowMillis());
            }
        }
        sendHeartbeat(List.copyOf(heartbeatPeers));
    }

    private boolean isHeartbeatDue(ServiceId service) {
        long lastSent = mLastSentMillis.getOrDefault(service, 0L);
        return mLoop.nowMillis() - lastSent >= HEARTBEAT_PERIOD.toMillis();
    }

    /**
     * Sends an empty report of no service, which only shows that this VM is alive.
     *
     * <p>Without heartbeats, a cell whose paced reports are rarer than the isolation window would
     * stop serving during a store outage.
     */
    private void sendHeartbeat(List<Vm> peers) {
        if (peers.isEmpty()) {
            return;
        }
        Vm self = mFleet.view().self();
        EvidenceReport empty =
                new EvidenceReport(
                        self.identity(), self.availabilityZone(), 0, NO_SERVICE, List.of());
        mLink.report(peers, empty, List.of());
    }

    private void sendReports(ServiceTemplate template, ReportPacer pacer) {
        Optional<EvidenceReport> report = mServices.drainReport(template.id());
        Optional<ServiceRuntime> runtime = mServices.find(template.id());
        if (report.isEmpty() || runtime.isEmpty()) {
            return;
        }
        List<TargetInFlight> inFlight = runtime.get().inFlight();
        boolean idle = report.get().evidence().isEmpty() && inFlight.isEmpty();
        if (idle && !isHeartbeatDue(template.id())) {
            return;
        }
        long now = mLoop.nowMillis();
        mLastSentMillis.put(template.id(), now);
        pacer.onReported(mLink.report(peers(template), report.get(), inFlight), now);
    }

    private List<Vm> peers(ServiceTemplate template) {
        VmIdentity self = mFleet.view().self().identity();
        return mFleet.cellOf(template).stream().filter(vm -> !vm.identity().equals(self)).toList();
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mServices = kernel.find(ServiceTable.NAME, ServiceTable.class);
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mLink = kernel.find(PeerLink.NAME, PeerLink.class);
        mServices.setUrgentReportSender(
                (template, report) -> mLink.report(peers(template), report, List.of()));
        mLoop.scheduleWithFixedDelay(mPeriod, this::sendReports);
        return CompletableFuture.completedFuture(null);
    }
}
