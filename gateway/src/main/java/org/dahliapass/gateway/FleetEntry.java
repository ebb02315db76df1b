package org.dahliapass.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.VmEntry;

/**
 * Keeps this VM's entry in the store under a lease, so that the other VMs send callers here.
 *
 * <p>Renewals also tell early that the store is away: they cost a tenth of a read. All state
 * belongs to the control thread.
 */
public final class FleetEntry implements KernelService {
    /** The name under which the kernel holds the entry. */
    public static final String NAME = "fleet-entry";

    /** A VM that died is named in asks for this long at most; three renewals may be lost. */
    private static final Duration TIME_TO_LIVE = Duration.ofSeconds(4);

    private static final Duration RENEWAL = Duration.ofSeconds(1);

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
    private long mBegunMillis = Long.MIN_VALUE / 2;
    private boolean mBusy;
    private boolean mLeft;

    /**
     * Joins what the entry needs.
     *
     * @param isFollowed whether other VMs hear of changes through this one; asked on the control
     *     thread
     */
    FleetEntry(KeyValueStore store, FleetVm self, BooleanSupplier isFollowed, EventLog log) {
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
        mLoop.every(RENEWAL_OF_FOLLOWED, this::keepUpIfDue);
        return CompletableFuture.completedFuture(null);
    }

    /** Takes the entry out; asks stop naming this VM as soon as the other VMs hear of it. */
    CompletableFuture<Void> leave() {
        return mLoop.ask(
                        () -> {
                            mLeft = true;
                            return mLease;
                        })
                .thenCompose(
                        lease ->
                                lease == NONE
                                        ? CompletableFuture.completedFuture(null)
                                        : mStore.endLease(lease));
    }

    private void keepUpIfDue() {
        // Half a step early, so that the step nearest to the renewal's time is taken.
        long dueMillis = mBegunMillis + RENEWAL.toMillis() - RENEWAL_OF_FOLLOWED.toMillis() / 2;
        if (mIsFollowed.getAsBoolean() || mLoop.nowMillis() >= dueMillis) {
            keepUp();
        }
    }

    /** Renews the lease, or begins one and writes the entry if there is none. */
    private void keepUp() {
        if (mBusy || mLeft) {
            return;
        }
        mBusy = true;
        mBegunMillis = mLoop.nowMillis();
        CompletableFuture<?> step = mLease == NONE ? enter() : renew();
        Futures.whenDone(
                step,
                (ignored, failure) ->
                        mLoop.execute(
                                () -> {
                                    mBusy = false;
                                    if (failure != null) {
                                        mFollower.onFailure(failure);
                                    } else {
                                        mFollower.onAnswer();
                                    }
                                }));
    }

    private CompletableFuture<?> enter() {
        return mStore.grantLease(TIME_TO_LIVE)
                .thenCompose(
                        lease ->
                                mStore.put(VmEntry.key(mSelf.name()), VmEntry.encode(mSelf), lease)
                                        .thenAccept(done -> setLease(done ? lease : NONE)));
    }

    private CompletableFuture<?> renew() {
        long lease = mLease;
        return mStore.renewLease(lease)
                .thenAccept(
                        alive -> {
                            if (!alive) {
                                setLease(NONE);
                            }
                        });
    }

    private void setLease(long lease) {
        mLoop.execute(
                () -> {
                    mLease = lease;
                    mLog.write(
                            EventLog.Kind.BELIEF,
                            lease == NONE ? "own_entry_lost" : "own_entry_written",
                            line -> line.put("lease", lease));
                });
    }
}
