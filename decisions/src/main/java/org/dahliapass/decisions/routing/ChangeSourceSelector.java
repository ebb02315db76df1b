package org.dahliapass.decisions.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.model.routing.FleetVm;

/**
 * Selects the source of a VM's configuration changes: the store, or a VM that watches the store.
 *
 * <p>A few watchers in each region, chosen identically by all VMs, watch the store. All other VMs
 * follow one of the watchers, preferably in their own zone, so the load of the store does not grow
 * with the fleet. A source that failed is skipped for a while. The store is the last resort: it is
 * asked once the state of the VM has not been confirmed for too long, however many watchers have
 * failed meanwhile.
 *
 * <p>Not thread-safe.
 */
public final class ChangeSourceSelector {
    /** An unresponsive VM may be frozen or without power, which takes seconds to recover from. */
    private static final long TIMEOUT_BACKOFF_MILLIS = 3_000;

    /** A VM that rejects followers recovers once it has started or has reached the store. */
    private static final long REJECTED_BACKOFF_MILLIS = 1_000;

    /**
     * How long a follower without a source waits before it falls back to the store: half of the 2
     * seconds in which changes must be in force. Most VMs find a new source within this time, which
     * avoids a burst of calls to the store after the loss of all watchers or the start of a fleet.
     */
    private static final long STORE_FALLBACK_MILLIS = 1_000;

    /** The maximum duration of a watch on another VM. */
    private static final long MAX_WATCH_MILLIS = 900;

    /**
     * How long the state of a follower may remain unconfirmed. Of the 2 seconds in which changes
     * must be in force, leaves time for the call to the store, and for the delay with which a
     * watcher reads a series of changes.
     */
    private static final long MAX_UNCONFIRMED_MILLIS = 1_500;

    /** How long a watcher may confirm an old state before it notices that it has lost the store. */
    private static final long UNNOTICED_LOSS_MILLIS = 1_200;

    /** How soon a VM without a source looks for one again. */
    private static final long RETRY_DELAY_MILLIS = 300;

    private final FleetVm mSelf;
    private final Map<String, Long> mSkippedUntilMillis = new HashMap<>();
    private long mUnavailableMillis = Long.MIN_VALUE / 2;
    private long mDoubtedMillis = Long.MIN_VALUE / 2;
    private long mAvoidStoreUntilMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a selector.
     *
     * @param self this VM
     */
    public ChangeSourceSelector(FleetVm self) {
        mSelf = self;
    }

    /** Skips a VM that did not respond in time. */
    public void onTimeout(FleetVm source, long nowMillis) {
        mSkippedUntilMillis.put(source.name(), nowMillis + TIMEOUT_BACKOFF_MILLIS);
    }

    /** Skips a VM that refused or closed the connection. */
    public void onConnectionFailure(FleetVm source, long nowMillis) {
        mSkippedUntilMillis.put(source.name(), nowMillis + REJECTED_BACKOFF_MILLIS);
    }

    /**
     * Skips a watcher that reported that it has lost the store.
     *
     * <p>Allows an immediate fallback to the store. If only the watchers have lost the store, they
     * take a second to notice, and another second of waiting would delay changes for too long. What
     * the watcher confirmed during that second doesn't count.
     */
    public void onUnavailable(FleetVm source, long nowMillis) {
        onConnectionFailure(source, nowMillis);
        mUnavailableMillis = nowMillis;
        onDoubt(nowMillis);
    }

    /** Records that the state of this VM, as received up to now, may be older than it was read. */
    public void onDoubt(long nowMillis) {
        mDoubtedMillis = nowMillis;
    }

    /**
     * Prefers watchers for a while after the store was restored from a copy, as all VMs learn of it
     * at once. The watchers are tried again, because they were skipped for the outage of the store.
     *
     * @param avoidStoreUntilMillis the time until which this VM doesn't fall back to the store, in
     *     milliseconds
     */
    public void onStoreRestored(long avoidStoreUntilMillis) {
        mSkippedUntilMillis.clear();
        mAvoidStoreUntilMillis = avoidStoreUntilMillis;
    }

    /**
     * Returns the time at which the store is asked in place of another VM, unless data is received
     * until then, in milliseconds.
     *
     * <p>Guards against VMs that follow one unresponsive watcher after the other: each single wait
     * fits into the time in which changes must be in force, but not their sum.
     *
     * @param lastReceivedMillis when this VM last received data from any source, in milliseconds
     */
    public long storeDeadlineMillis(long lastReceivedMillis) {
        return Math.max(
                confirmedMillis(lastReceivedMillis) + MAX_UNCONFIRMED_MILLIS,
                mAvoidStoreUntilMillis);
    }

    /** Returns whether this VM is a watcher. */
    public boolean isWatcher(AddressPlan plan) {
        return plan.watchers().stream().anyMatch(vm -> vm.name().equals(mSelf.name()));
    }

    /**
     * Returns the source to read changes from next.
     *
     * @param plan lists the watchers of the store
     * @param store what the latest calls of this VM say of the store
     * @param lastReceivedMillis when this VM last received data from any source, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public ChangeSource choose(
            AddressPlan plan, StoreState store, long lastReceivedMillis, long nowMillis) {
        boolean watcher = isWatcher(plan);
        boolean overdue = nowMillis >= storeDeadlineMillis(lastReceivedMillis);
        if (store.isSourceOf(watcher, overdue)) {
            return new ChangeSource.Store();
        }
        Optional<FleetVm> source = nearestWatcher(plan, nowMillis);
        if (source.isPresent()) {
            return new ChangeSource.Vm(source.get(), watchMillis(lastReceivedMillis, nowMillis));
        }
        boolean waits =
                !watcher
                        && (nowMillis < mAvoidStoreUntilMillis
                                || isRecentlyServed(lastReceivedMillis, nowMillis));
        return waits ? new ChangeSource.RetryLater(RETRY_DELAY_MILLIS) : new ChangeSource.Store();
    }

    /**
     * Returns the nearest other watcher that is not skipped.
     *
     * @param plan lists the watchers of the store
     * @param nowMillis the current time, in milliseconds
     */
    public Optional<FleetVm> nearestWatcher(AddressPlan plan, long nowMillis) {
        return plan.watchers().stream()
                .filter(vm -> !vm.name().equals(mSelf.name()))
                .filter(vm -> !isSkipped(vm, nowMillis))
                .min(Comparator.comparingInt(this::distance).thenComparing(this::tieBreaker));
    }

    /** Returns a shorter wait the longer the state has been unconfirmed. */
    private long watchMillis(long lastReceivedMillis, long nowMillis) {
        long ageMillis = nowMillis - confirmedMillis(lastReceivedMillis);
        return Math.max(0, Math.min(MAX_WATCH_MILLIS, MAX_WATCH_MILLIS - ageMillis));
    }

    private long confirmedMillis(long lastReceivedMillis) {
        return lastReceivedMillis > mDoubtedMillis
                ? lastReceivedMillis
                : Math.min(lastReceivedMillis, mDoubtedMillis - UNNOTICED_LOSS_MILLIS);
    }

    private boolean isRecentlyServed(long lastReceivedMillis, long nowMillis) {
        return nowMillis - lastReceivedMillis < STORE_FALLBACK_MILLIS
                && nowMillis - mUnavailableMillis >= STORE_FALLBACK_MILLIS;
    }

    private int distance(FleetVm vm) {
        if (vm.availabilityZone().equals(mSelf.availabilityZone())) {
            return 0;
        }
        return vm.region().equals(mSelf.region()) ? 1 : 2;
    }

    /** Spreads the followers of other zones over the watchers. */
    private int tieBreaker(FleetVm vm) {
        return (vm.name() + mSelf.name()).hashCode();
    }

    private boolean isSkipped(FleetVm vm, long nowMillis) {
        Long until = mSkippedUntilMillis.get(vm.name());
        return until != null && nowMillis < until;
    }
}
