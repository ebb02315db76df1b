package org.dahliapass.decisions.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.model.routing.FleetVm;

/**
 * Chooses from whom a VM hears of changes: the store itself, or a VM that watches it for others.
 *
 * <p>A few VMs of each availability zone, the same in every VM's eyes, watch the store; all others
 * follow one of them, one of their own zone first. So the store's calls don't grow with the fleet.
 * A source that failed is passed over for a while; the store is the last resort of each VM.
 *
 * <p>Not safe for use by several threads.
 */
public final class UpstreamPlan {
    private final FleetVm mSelf;
    private final long mPauseMillis;
    private final Map<String, Long> mFailedMillis = new HashMap<>();

    /**
     * Creates a plan.
     *
     * @param self this VM
     * @param pauseMillis how long a source that failed is passed over, in milliseconds
     */
    public UpstreamPlan(FleetVm self, long pauseMillis) {
        mSelf = self;
        mPauseMillis = pauseMillis;
    }

    /** Takes that a VM gave no answer, or none to rely on. */
    public void onFailed(FleetVm source, long nowMillis) {
        mFailedMillis.put(source.name(), nowMillis);
    }

    /**
     * Returns the VM to follow; empty for the store itself.
     *
     * @param plan names the VMs that watch the store
     * @param storeAnswers whether the store answered this VM when it was last asked
     * @param nowMillis the time, in milliseconds
     */
    public Optional<FleetVm> source(AddressPlan plan, boolean storeAnswers, long nowMillis) {
        List<FleetVm> watchers = new ArrayList<>(plan.watchers());
        boolean watches = watchers.stream().anyMatch(vm -> vm.name().equals(mSelf.name()));
        if (watches && storeAnswers) {
            return Optional.empty();
        }
        watchers.removeIf(vm -> vm.name().equals(mSelf.name()) || isPassedOver(vm, nowMillis));
        watchers.sort(
                Comparator.comparing(
                                (FleetVm vm) ->
                                        !vm.availabilityZone().equals(mSelf.availabilityZone()))
                        .thenComparingInt(vm -> (vm.name() + mSelf.name()).hashCode()));
        return watchers.stream().findFirst();
    }

    private boolean isPassedOver(FleetVm vm, long nowMillis) {
        Long failed = mFailedMillis.get(vm.name());
        return failed != null && nowMillis - failed < mPauseMillis;
    }
}
