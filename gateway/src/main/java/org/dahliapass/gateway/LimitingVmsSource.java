package org.dahliapass.gateway;

import java.util.List;
import java.util.function.Supplier;
import org.dahliapass.decisions.limits.LimitingVms;
import org.dahliapass.decisions.routing.AddressPlan;
import org.dahliapass.model.routing.FleetVm;

/**
 * Tells which VMs divide the limits that apply to all of them together: those that take callers.
 * Thread-safe.
 */
final class LimitingVmsSource implements Supplier<LimitingVms> {
    /**
     * The age of the configuration after which the other VMs may have dropped this one, whose
     * registration they remove after a few seconds without renewal.
     */
    private static final long ISOLATION_MILLIS = 2_500;

    private final String mSelf;
    private final StoreFollower mFollower;
    private final ChangeFeed mFeed;

    /** Computed once for each plan, since it is read with each choice of a target. */
    private volatile Names mNames = new Names(null, List.of());

    private record Names(AddressPlan plan, List<String> vms) {}

    /**
     * Creates a source.
     *
     * @param follower knows the VMs
     * @param feed knows whether this VM still learns of changes
     */
    LimitingVmsSource(GatewaySettings settings, StoreFollower follower, ChangeFeed feed) {
        mSelf = settings.self().name();
        mFollower = follower;
        mFeed = feed;
    }

    @Override
    public LimitingVms get() {
        RoutingView view = mFollower.view();
        Names names = mNames;
        if (names.plan() != view.plan()) {
            names =
                    new Names(
                            view.plan(),
                            view.plan().advertisedVms().stream().map(FleetVm::name).toList());
            mNames = names;
        }
        boolean isIsolated = mFeed.status().ageMillis() > ISOLATION_MILLIS;
        return new LimitingVms(mSelf, names.vms(), view.vms().size(), isIsolated);
    }
}
