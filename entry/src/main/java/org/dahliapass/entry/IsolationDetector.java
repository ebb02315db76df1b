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
 * Makes a VM stand down that hears neither the store nor most of its cells.
 *
 * <p>Guards against a VM that is cut off while a newer configuration comes into force elsewhere; it
 * would show as requests served by reverted limits. Such a VM can't know, so it refuses and names
 * other addresses as the way out. A store outage alone doesn't trigger it, since the cell is heard.
 * Standing down takes {@link #WINDOW}, less than the time within which an accept is in force.
 */
final class IsolationDetector implements KernelService {
    /** The name under which the kernel holds the guard. */
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
        double share = mFleet.heardFraction(peers, WINDOW);
        boolean storeHeard =
                mLoop.nowMillis() - mConfiguration.lastStoreResponseMillis() < WINDOW.toMillis();
        boolean isolated = !peers.isEmpty() && share < MIN_HEARD_FRACTION && !storeHeard;
        if (!peers.isEmpty() && share < MIN_HEARD_FRACTION) {
            mConfiguration.probeStore();
        }
        if (isolated && mReadiness.transition(Readiness.State.SERVING, Readiness.State.ISOLATED)) {
            explain(Action.STOOD_DOWN, "it hears neither the store nor most of its cells", share);
        }
        if (!isolated && mReadiness.transition(Readiness.State.ISOLATED, Readiness.State.SERVING)) {
            explain(Action.RESUMED, "it hears its cells or the store again", share);
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

    private void explain(Action action, String cause, double share) {
        String evidence = Math.round(share * 100) + "% of its cells' VMs heard in the window";
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
