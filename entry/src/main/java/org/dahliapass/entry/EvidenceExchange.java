package org.dahliapass.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.traffic.TargetInFlight;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Vm;

/**
 * Tells the other VMs of each cell what this VM saw, every period in which there is news.
 *
 * <p>Shared evidence is what lets a cell decide sooner than any of its VMs could alone.
 */
final class EvidenceExchange implements KernelService {
    /** The name under which the kernel holds the exchange. */
    static final String NAME = "evidence";

    /** An idle cell's members still tell each other that they are there; see IsolationGuard. */
    private static final Duration HEARTBEAT = Duration.ofSeconds(1);

    private ControlLoop mLoop;
    private final Duration mPeriod;
    private ServiceTable mServices;
    private FleetService mFleet;
    private EvidenceLink mLink;
    private final Map<ServiceId, Long> mToldMillis = new HashMap<>();

    EvidenceExchange(Duration period) {
        mPeriod = period;
    }

    private void share() {
        for (ServiceTemplate template : mServices.served()) {
            Optional<EvidenceReport> report = mServices.takeReport(template.id());
            Optional<ServiceRuntime> runtime = mServices.find(template.id());
            if (report.isPresent() && runtime.isPresent()) {
                share(template, report.get(), runtime.get().inFlight());
            }
        }
    }

    private void share(
            ServiceTemplate template, EvidenceReport report, List<TargetInFlight> inFlight) {
        boolean idle = report.evidence().isEmpty() && inFlight.isEmpty();
        long now = mLoop.nowMillis();
        long last = mToldMillis.getOrDefault(template.id(), 0L);
        if (idle && now - last < HEARTBEAT.toMillis()) {
            return;
        }
        mToldMillis.put(template.id(), now);
        for (Vm vm : mFleet.cellOf(template)) {
            if (!vm.identity().equals(mFleet.view().self().identity())) {
                CompletableFuture<Void> unused = mLink.report(vm, report, inFlight);
            }
        }
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mServices = kernel.find(ServiceTable.NAME, ServiceTable.class);
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mLink = kernel.find(PeerLink.NAME, PeerLink.class);
        mLoop.every(mPeriod, this::share);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        return CompletableFuture.completedFuture(null);
    }
}
