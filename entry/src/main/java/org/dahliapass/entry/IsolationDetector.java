package org.dahliapass.entry;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.model.explain.Action;
import org.dahliapass.model.explain.Explanation;

/**
 * Detects that this VM reaches neither the store nor most VMs of its cells, and stops serving.
 *
 * <p>An isolated VM would serve requests by outdated limits while a newer configuration is in force
 * elsewhere. A store outage alone does not isolate a VM. {@link #WINDOW} is shorter than the time
 * in which an accepted change comes into force.
 */
final class IsolationDetector implements KernelService {
    /** The name under which the detector is registered with the kernel. */
    static final String NAME = "isolation-guard";

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final Duration PERIOD = Duration.ofMillis(250);
    private static final double MIN_HEARD_FRACTION = 0.5;

    private final Readiness mReadiness;
    private ControlLoop mLoop;
    private FleetService mFleet;
    private ServiceTable mServices;
    private ConfigurationService mConfiguration;
    private ExplanationLog mExplanations;

    IsolationDetector(Readiness readiness) {
        mReadiness = readiness;
    }

    private void check() {
        List<VmIdentity> peers = cellPeers();
        double heardFraction = mFleet.heardFraction(peers, WINDOW);
        boolean storeReachable =
                mLoop.nowMillis() - mConfiguration.lastStoreResponseMillis() < WINDOW.toMillis();
        boolean isolated =
                !peers.isEmpty() && heardFraction < MIN_HEARD_FRACTION && !storeReachable;
        if (!peers.isEmpty() && heardFraction < MIN_HEARD_FRACTION) {
            mConfiguration.probeStore();
        }
        if (isolated && mReadiness.transition(Readiness.State.SERVING, Readiness.State.ISOLATED)) {
            explain(
                    Action.STOOD_DOWN,
                    "it hears neither the store nor most of its cells",
                    heardFraction);
        }
        if (!isolated && mReadiness.transition(Readiness.State.ISOLATED, Readiness.State.SERVING)) {
            explain(Action.RESUMED, "it hears its cells or the store again", heardFraction);
        }
    }

    private List<VmIdentity> cellPeers() {
        Set<VmIdentity> peers = new LinkedHashSet<>();
        for (ServiceTemplate template : mServices.servedTemplates()) {
            mFleet.cellOf(template).stream().map(Vm::identity).forEach(peers::add);
        }
        peers.remove(mFleet.view().self().identity());
        return List.copyOf(peers);
    }

    private void explain(Action action, String cause, double heardFraction) {
        String evidence =
                Math.round(heardFraction * 100) + "% of its cells' VMs heard in the window";
        mExplanations.add(
                new Explanation(
                        mLoop.nowMillis(),
                        action,
                        mFleet.view().self().identity().toString(),
                        cause,
                        evidence,
                        "window=" + WINDOW));
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mServices = kernel.find(ServiceTable.NAME, ServiceTable.class);
        mConfiguration = kernel.find(ConfigurationService.NAME, ConfigurationService.class);
        mExplanations = kernel.find(ExplanationLog.NAME, ExplanationLog.class);
        mLoop.scheduleWithFixedDelay(PERIOD, this::check);
        return CompletableFuture.completedFuture(null);
    }
}
