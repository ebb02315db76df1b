package org.dahliapass.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.dahliapass.decisions.routing.AddressPlan;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.VmEntry;

/**
 * Keeps this VM's entry in the store under a lease, so that the other VMs send callers here.
 *
 * <p>Renewals also tell early that the store is away: they cost a tenth of a read. All state
 * belongs to the control thread.
 */
public final class SelfRegistration implements KernelService {
    /** The name under which the kernel holds the entry. */
    public static final String NAME = "fleet-entry";

    /** How long the entry outlives its VM, and how often it is renewed for that. */
    private enum Tenure {
        /** Callers or other VMs use this VM: once dead it is named for 4 s at most. */
        USED(Duration.ofSeconds(4), Duration.ofSeconds(1)),
        /**
         * Nobody uses it yet. Each renewal is a call to the store, and most VMs of a large fleet
         * are such; one that died may be planned with for 9 s at most.
         */
        SPARE(Duration.ofSeconds(9), Duration.ofSeconds(3));

        private final Duration mTimeToLive;
        private final Duration mRenewal;

        Tenure(Duration timeToLive, Duration renewal) {
            mTimeToLive = timeToLive;
            mRenewal = renewal;
        }
    }

    /** How often it is looked whether a renewal is due, on a VM that nobody follows. */
    private static final Duration STEP = Duration.ofMillis(500);

    /**
     * A VM that others follow renews more often, at a tenth of the price of a read each: by the
     * answers it knows within a second that the store has fallen silent.
     */
    private static final Duration RENEWAL_OF_FOLLOWED = Duration.ofMillis(400);

    private static final long NONE = 0;

    private final KeyValueStore mStore;
    private final FleetVm mSelf;
    private final BooleanSupplier mIsFollowed;
    private final EventLog mLog;
    private ControlLoop mLoop;
    private StoreFollower mFollower;
    private long mLease = NONE;
    private Tenure mTenure = Tenure.SPARE;
    private long mBegunMillis = Long.MIN_VALUE / 2;
    private boolean mBusy;
    private boolean mLeft;

    /**
     * Joins what the entry needs.
     *
     * @param isFollowed whether other VMs hear of changes through this one; asked on the control
     *     thread
     */
    SelfRegistration(KeyValueStore store, FleetVm self, BooleanSupplier isFollowed, EventLog log) {
        mStore = store;
        mSelf = self;
        mIsFollowed = isFollowed;
        mLog = log;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mFollower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        mLoop.execute(this::keepUp);
        new PeriodicTask(mLoop, STEP, this::keepUpIfDue).wake();
        return CompletableFuture.completedFuture(null);
    }

    /** Takes the entry out; asks stop naming this VM as soon as the other VMs hear of it. */
    CompletableFuture<Void> deregister() {
        return mLoop.submit(
                        () -> {
                            mLeft = true;
                            return mLease;
                        })
                .thenCompose(
                        lease ->
                                lease == NONE
                                        ? CompletableFuture.completedFuture(null)
                                        : mStore.revokeLease(lease));
    }

    private Optional<Duration> keepUpIfDue() {
        Duration step = mIsFollowed.getAsBoolean() ? RENEWAL_OF_FOLLOWED : STEP;
        Duration renewal = mIsFollowed.getAsBoolean() ? RENEWAL_OF_FOLLOWED : tenure().mRenewal;
        // Half a step early, so that the step nearest to the renewal's time is taken.
        long dueMillis = mBegunMillis + renewal.toMillis() - step.toMillis() / 2;
        if (mLoop.nowMillis() >= dueMillis || isTooLong()) {
            keepUp();
        }
        return mLeft ? Optional.empty() : Optional.of(step);
    }

    private Tenure tenure() {
        AddressPlan plan = mFollower.view().plan();
        boolean used =
                Stream.concat(plan.advertisedVms().stream(), plan.watchers().stream())
                        .anyMatch(vm -> vm.name().equals(mSelf.name()));
        return used ? Tenure.USED : Tenure.SPARE;
    }

    /** Returns whether the entry would outlive its VM for longer than its use by now allows. */
    private boolean isTooLong() {
        return mLease != NONE && mTenure == Tenure.SPARE && tenure() == Tenure.USED;
    }

    /** Renews the lease, or begins one and writes the entry if there is none. */
    private void keepUp() {
        if (mBusy || mLeft) {
            return;
        }
        mBusy = true;
        mBegunMillis = mLoop.nowMillis();
        CompletableFuture<?> step = mLease == NONE || isTooLong() ? enter() : renew();
        Futures.whenDone(
                step,
                (ignored, failure) ->
                        mLoop.execute(
                                () -> {
                                    mBusy = false;
                                    if (failure != null) {
                                        mFollower.onStoreFailure(failure);
                                    } else {
                                        mFollower.onStoreResponse();
                                    }
                                }));
    }

    private CompletableFuture<?> enter() {
        Tenure tenure = tenure();
        return mStore.grantLease(tenure.mTimeToLive)
                .thenCompose(
                        lease ->
                                mStore.put(VmEntry.key(mSelf.name()), VmEntry.encode(mSelf), lease)
                                        .thenAccept(done -> setLease(done ? lease : NONE, tenure)));
    }

    private CompletableFuture<?> renew() {
        return mStore.renewLease(mLease)
                .thenCompose(
                        alive -> alive ? CompletableFuture.completedFuture(null) : enterAgain());
    }

    /** The lease ended while the store was away; the others miss this VM until it is back. */
    private CompletableFuture<?> enterAgain() {
        setLease(NONE, Tenure.SPARE);
        return enter();
    }

    private void setLease(long lease, Tenure tenure) {
        mLoop.execute(
                () -> {
                    mLease = lease;
                    mTenure = tenure;
                    mLog.write(
                            EventLog.Kind.BELIEF,
                            lease == NONE ? "own_entry_lost" : "own_entry_written",
                            line -> line.put("lease", lease).put("tenure", tenure.name()));
                });
    }
}
