package org.dahliapass.decisions.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.model.routing.FleetVm;

/**
 * Chooses from whom a VM hears of changes: the store itself, or a VM that watches it for others.
 *
 * <p>A few VMs of each region, the same in every VM's eyes, watch the store; all others follow one
 * of them, one of their own zone first. So the store's calls don't grow with the fleet. A source
 * that failed is passed over for a while; the store is the last resort of each VM.
 *
 * <p>Not safe for use by several threads.
 */
public final class ChangeSourceSelector {
    /** A VM that is silent may be frozen or without power, which takes seconds, in milliseconds. */
    private static final long SILENT_PAUSE_MILLIS = 3_000;

    /**
     * A VM that refuses the connection or turns others away may serve again in a moment, once it
     * has started or has found the store, in milliseconds.
     */
    private static final long REFUSED_PAUSE_MILLIS = 1_000;

    /**
     * How long a VM that heard something goes without any source before it asks the store itself,
     * in milliseconds: half of the 2 seconds in which changes must be in force. After the loss of
     * all who watch the store, or the start of a whole fleet, most VMs find a new source in that
     * time, and the store is spared a call of each.
     */
    private static final long PATIENCE_MILLIS = 1_000;

    /** How soon a VM without a source looks again, in milliseconds. */
    private static final long LOOK_AGAIN_MILLIS = 300;

    private final FleetVm mSelf;
    private final Map<String, Long> mPassedOverUntil = new HashMap<>();
    private long mTurnedAwayMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a plan.
     *
     * @param self this VM
     */
    public ChangeSourceSelector(FleetVm self) {
        mSelf = self;
    }

    /** Takes that a VM gave no answer in time. */
    public void onTimeout(FleetVm source, long nowMillis) {
        mPassedOverUntil.put(source.name(), nowMillis + SILENT_PAUSE_MILLIS);
    }

    /** Takes that a VM refused the connection or broke it off. */
    public void onConnectionFailure(FleetVm source, long nowMillis) {
        mPassedOverUntil.put(source.name(), nowMillis + REFUSED_PAUSE_MILLIS);
    }

    /**
     * Takes that a VM answered that it has nothing to rely on.
     *
     * <p>Guards against changes that come too late when the store is silent to all who watch it,
     * and to nobody else: they know it after a second, so their followers have none left to wait.
     */
    public void onUnavailable(FleetVm source, long nowMillis) {
        onConnectionFailure(source, nowMillis);
        mTurnedAwayMillis = nowMillis;
    }

    /**
     * Returns where to wait for changes.
     *
     * @param plan names the VMs that watch the store
     * @param storeAnswers whether the store answered this VM when it was last asked
     * @param heardMillis when this VM last heard from any source, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    public ChangeSource choose(
            AddressPlan plan, boolean storeAnswers, long heardMillis, long nowMillis) {
        boolean watches = plan.watchers().stream().anyMatch(vm -> vm.name().equals(mSelf.name()));
        if (watches && storeAnswers) {
            return new ChangeSource.Store();
        }
        Optional<FleetVm> source =
                plan.watchers().stream()
                        .filter(vm -> !vm.name().equals(mSelf.name()))
                        .filter(vm -> !isPassedOver(vm, nowMillis))
                        .min(Comparator.comparingInt(this::distance).thenComparing(this::scatter));
        if (source.isPresent()) {
            return new ChangeSource.Vm(source.get());
        }
        boolean patient =
                !watches
                        && nowMillis - heardMillis < PATIENCE_MILLIS
                        && nowMillis - mTurnedAwayMillis >= PATIENCE_MILLIS;
        return patient ? new ChangeSource.RetryLater(LOOK_AGAIN_MILLIS) : new ChangeSource.Store();
    }

    private int distance(FleetVm vm) {
        if (vm.availabilityZone().equals(mSelf.availabilityZone())) {
            return 0;
        }
        return vm.region().equals(mSelf.region()) ? 1 : 2;
    }

    /** Spreads the followers of other zones over the VMs that watch. */
    private int scatter(FleetVm vm) {
        return (vm.name() + mSelf.name()).hashCode();
    }

    private boolean isPassedOver(FleetVm vm, long nowMillis) {
        Long until = mPassedOverUntil.get(vm.name());
        return until != null && nowMillis < until;
    }
}
