package org.dahliapass.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.dahliapass.decisions.routing.AddressPlan;
import org.dahliapass.decisions.routing.RegistrationPacing;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.VmEntry;

/**
 * Registers this VM in the store under a lease, so that the other VMs advertise it to callers.
 *
 * <p>The renewals also detect an unavailable store early, at a tenth of the price of a read.
 * Confined to the control thread.
 */
public final class SelfRegistration implements KernelService {
    /** The service name in the kernel. */
    public static final String NAME = "fleet-entry";

    /**
     * The term of the lease, which limits how long the entry outlives its VM, and its renewal
     * interval.
     */
    private enum LeaseTerm {
        /** Callers or other VMs use this VM; it is advertised for at most 4 s after it fails. */
        USED(Duration.ofSeconds(4), Duration.ofSeconds(1)),
        /**
         * The VM is unused, like most VMs of a large fleet. Fewer renewals reduce the calls to the
         * store.
         */
        SPARE(Duration.ofSeconds(9), Duration.ofSeconds(3));

        private final Duration mTimeToLive;
        private final Duration mRenewalInterval;

        LeaseTerm(Duration timeToLive, Duration renewal) {
            mTimeToLive = timeToLive;
            mRenewalInterval = renewal;
        }
    }

    /** The interval of the checks for a due renewal on a VM without followers. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /**
     * The renewal interval of a VM with followers: it has to detect a silent store within a second,
     * by the responses to renewals, each of which has a tenth of the price of a read.
     */
    private static final Duration FOLLOWED_RENEWAL_INTERVAL = Duration.ofMillis(400);

    /**
     * How long a VM has reached targets before it is advertised again, so that a network that fails
     * repeatedly doesn't move callers each time.
     */
    private static final long STABLE_MILLIS = 3_000;

    /** How long the write of an entry takes until its VM reads it from the store. */
    private static final long ENTRY_VISIBLE_MILLIS = 2_500;

    private static final long NO_LEASE = 0;
    private static final long NOT_SCHEDULED = Long.MAX_VALUE;
    private static final CompletableFuture<Void> DONE = CompletableFuture.completedFuture(null);

    private final KeyValueStore mStore;
    private final FleetVm mSelf;
    private final ChangeFeed mFeed;
    private final RegistrationPacing mPacing;
    private final RandomGenerator mRandom;
    private final TargetReachability mReachability;
    private final EventLog mLog;
    private ControlLoop mLoop;
    private StoreFollower mFollower;
    private long mLease = NO_LEASE;
    private LeaseTerm mLeaseTerm = LeaseTerm.SPARE;

    /** The epoch of the store in which the lease was granted. */
    private long mLeaseEpoch = StoreRevision.UNKNOWN_EPOCH;

    private long mEntryWrittenMillis = Long.MIN_VALUE / 2;

    /** When the entry has to be written again; {@link #NOT_SCHEDULED} if it doesn't. */
    private long mWriteAtMillis = NOT_SCHEDULED;

    private long mLastRenewalMillis = Long.MIN_VALUE / 2;
    private boolean mIsRenewing;
    private boolean mIsDeregistered;

    /** Whether the entry says that this VM reaches targets. */
    private boolean mIsEntryReaching = true;

    /**
     * Creates the service.
     *
     * @param feed knows whether other VMs may follow this one, and what the store holds
     * @param reachability knows whether this VM reaches the targets
     */
    SelfRegistration(
            KeyValueStore store,
            GatewaySettings settings,
            ChangeFeed feed,
            TargetReachability reachability,
            RandomGenerator random,
            EventLog log) {
        mStore = store;
        mSelf = settings.self();
        mPacing = settings.registrationPacing();
        mFeed = feed;
        mReachability = reachability;
        mRandom = random;
        mLog = log;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mFollower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        mLoop.execute(this::renewOrRegister);
        new PeriodicTask(mLoop, CHECK_INTERVAL, this::renewIfDue).wake();
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Removes the entry from the store. The other VMs stop advertising this VM when they receive
     * the change.
     */
    CompletableFuture<Void> deregister() {
        return mLoop.submit(
                        () -> {
                            mIsDeregistered = true;
                            return mLease;
                        })
                .thenCompose(
                        lease ->
                                lease == NO_LEASE
                                        ? CompletableFuture.completedFuture(null)
                                        : mStore.revokeLease(lease));
    }

    private Optional<Duration> renewIfDue() {
        Duration interval = mFeed.followsStore() ? FOLLOWED_RENEWAL_INTERVAL : CHECK_INTERVAL;
        Duration renewal =
                mFeed.followsStore() ? FOLLOWED_RENEWAL_INTERVAL : leaseTerm().mRenewalInterval;
        // Half an interval early, so that the check nearest to the due time is used.
        long dueMillis = mLastRenewalMillis + renewal.toMillis() - interval.toMillis() / 2;
        scheduleRewriteIfMissing();
        if (isRegistrationDelayed()) {
            return Optional.of(interval);
        }
        boolean isDue = mLoop.nowMillis() >= Math.min(dueMillis, mWriteAtMillis);
        if (isDue || isLeaseTooLong() || isEntryOutdated()) {
            renewOrRegister();
        }
        return mIsDeregistered ? Optional.empty() : Optional.of(interval);
    }

    private LeaseTerm leaseTerm() {
        AddressPlan plan = mFollower.view().plan();
        boolean isUsed =
                Stream.concat(plan.advertisedVms().stream(), plan.watchers().stream())
                        .anyMatch(vm -> vm.name().equals(mSelf.name()));
        return isUsed ? LeaseTerm.USED : LeaseTerm.SPARE;
    }

    /** Returns whether the lease is too long for the current use of this VM. */
    private boolean isLeaseTooLong() {
        return mLease != NO_LEASE && mLeaseTerm == LeaseTerm.SPARE && leaseTerm() == LeaseTerm.USED;
    }

    /** Returns whether the entry is wrong about the targets that this VM reaches. */
    private boolean isEntryOutdated() {
        if (mLease == NO_LEASE) {
            return false;
        }
        if (mIsEntryReaching) {
            return mReachability.isPartitioned();
        }
        return mReachability.sincePartitionMillis() >= STABLE_MILLIS;
    }

    /** Returns whether the lease was lost in a restore and this VM is not due to register again. */
    private boolean isRegistrationDelayed() {
        return mLease == NO_LEASE
                && mWriteAtMillis != NOT_SCHEDULED
                && mLoop.nowMillis() < mWriteAtMillis;
    }

    /**
     * Schedules a write of the entry if the store doesn't hold it as this VM wrote it.
     *
     * <p>Guards against a VM that renews a lease without an entry: a store that is restored from a
     * copy may have the lease and lack the entry that was written under it.
     */
    private void scheduleRewriteIfMissing() {
        boolean isKnown = mLease != NO_LEASE && mFeed.status().isUpToDate();
        if (!isKnown) {
            return;
        }
        if (isEntryStored()) {
            mWriteAtMillis = NOT_SCHEDULED;
            return;
        }
        if (mWriteAtMillis != NOT_SCHEDULED) {
            return;
        }
        long visibleMillis = mEntryWrittenMillis + ENTRY_VISIBLE_MILLIS;
        mWriteAtMillis = Math.max(visibleMillis, mLoop.nowMillis() + writeDelayMillis());
        mLog.write(
                EventLog.Kind.BELIEF,
                "own_entry_missing",
                line ->
                        line.put("lease", mLease)
                                .put("write_in_ms", mWriteAtMillis - mLoop.nowMillis()));
    }

    private boolean isEntryStored() {
        StoredItem expected =
                StoredItem.of(
                        VmEntry.key(mSelf.name()),
                        VmEntry.encode(mSelf.withReachesTargets(mIsEntryReaching)),
                        0);
        return mFeed.mirror()
                .item(expected.key())
                .filter(item -> item.encoded().equals(expected.encoded()))
                .isPresent();
    }

    /** Returns a random delay, so that the VMs of a fleet don't write at once after a restore. */
    private long writeDelayMillis() {
        return mPacing.delayMillis(mFollower.view().vms().size(), mRandom);
    }

    /** Renews the lease, or grants one and writes the entry if there is none. */
    private void renewOrRegister() {
        if (mIsRenewing || mIsDeregistered) {
            return;
        }
        mIsRenewing = true;
        mLastRenewalMillis = mLoop.nowMillis();
        Futures.whenDone(
                startRenewal(),
                (ignored, failure) ->
                        mLoop.execute(
                                () -> {
                                    mIsRenewing = false;
                                    if (failure != null) {
                                        mFollower.onStoreFailure(failure);
                                    } else {
                                        mFollower.onStoreResponse();
                                    }
                                }));
    }

    /** Starts a renewal; an exception counts as its failure, so that the next one is started. */
    private CompletableFuture<?> startRenewal() {
        try {
            if (mLease == NO_LEASE || isLeaseTooLong()) {
                mWriteAtMillis = NOT_SCHEDULED;
                return register();
            }
            boolean isRewriteDue = mLoop.nowMillis() >= mWriteAtMillis;
            if (isRewriteDue) {
                mWriteAtMillis = NOT_SCHEDULED;
            }
            return isRewriteDue || isEntryOutdated() ? rewriteEntry() : renew();
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private CompletableFuture<Void> register() {
        LeaseTerm leaseTerm = leaseTerm();
        long epoch = mFeed.status().newestEpoch();
        return mStore.grantLease(leaseTerm.mTimeToLive)
                .thenCompose(
                        lease ->
                                writeEntry(lease)
                                        .thenAccept(
                                                isWritten ->
                                                        setLease(
                                                                isWritten ? lease : NO_LEASE,
                                                                leaseTerm,
                                                                epoch)));
    }

    /** Writes the entry; the future tells whether the lease exists. */
    private CompletableFuture<Boolean> writeEntry(long lease) {
        boolean isReaching = !mReachability.isPartitioned();
        return mStore.put(
                        VmEntry.key(mSelf.name()),
                        VmEntry.encode(mSelf.withReachesTargets(isReaching)),
                        lease)
                .thenApply(
                        isWritten -> {
                            if (isWritten) {
                                mLoop.execute(() -> onEntryWritten(isReaching));
                            }
                            return isWritten;
                        });
    }

    private void onEntryWritten(boolean isReaching) {
        mEntryWrittenMillis = mLoop.nowMillis();
        if (isReaching == mIsEntryReaching) {
            return;
        }
        mIsEntryReaching = isReaching;
        mLog.write(
                EventLog.Kind.BELIEF,
                isReaching ? "own_entry_reaching" : "own_entry_partitioned",
                line -> line.put("lease", mLease));
    }

    /** Writes the entry again under the current lease, or registers again if that has ended. */
    private CompletableFuture<?> rewriteEntry() {
        long epoch = mLeaseEpoch;
        return writeEntry(mLease).thenCompose(isWritten -> isWritten ? DONE : registerAgain(epoch));
    }

    private CompletableFuture<?> renew() {
        long epoch = mLeaseEpoch;
        return mStore.renewLease(mLease)
                .thenCompose(isRenewed -> isRenewed ? DONE : registerAgain(epoch));
    }

    /**
     * Registers again after the lease expired while the store was unavailable; after a random delay
     * if the store was restored, since all VMs may have lost their leases.
     *
     * @param leaseEpoch the epoch of the store in which the lease was granted
     */
    private CompletableFuture<Void> registerAgain(long leaseEpoch) {
        long epoch = mFeed.status().newestEpoch();
        setLease(NO_LEASE, LeaseTerm.SPARE, epoch);
        if (epoch == leaseEpoch) {
            return register();
        }
        mLoop.execute(() -> mWriteAtMillis = mLoop.nowMillis() + writeDelayMillis());
        return DONE;
    }

    private void setLease(long lease, LeaseTerm leaseTerm, long epoch) {
        mLoop.execute(
                () -> {
                    mLease = lease;
                    mLeaseTerm = leaseTerm;
                    mLeaseEpoch = epoch;
                    mLog.write(
                            EventLog.Kind.BELIEF,
                            lease == NO_LEASE ? "own_entry_lost" : "own_entry_written",
                            line ->
                                    line.put("lease", lease)
                                            .put("epoch", epoch)
                                            .put("tenure", leaseTerm.name()));
                });
    }
}
