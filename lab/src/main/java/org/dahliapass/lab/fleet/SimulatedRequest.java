package org.dahliapass.lab.fleet;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.dahliapass.decisions.acceptance.LoadStatement;
import org.dahliapass.decisions.availability.AvailabilityStatement;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.limits.LimitStatement;
import org.dahliapass.decisions.poison.TargetCrash;
import org.dahliapass.decisions.poison.Treatment;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.model.RequestKind;
import org.dahliapass.traffic.SlotRequest;

/**
 * A simulated request, including its retries and hedges as a gateway VM performs them.
 *
 * @param <S> the slot that an attempt occupies while it runs
 */
final class SimulatedRequest<S> implements SlotRequest {
    private static final long HEDGE_RETRY_MILLIS = 100;

    private final RequestLoad mLoad;
    private final Placer<S> mPlacer;
    private final Network mNetwork;
    private final EventScheduler mScheduler;
    private final FleetStatistics mStatistics;
    private final PoisonPolicy mPoisonPolicy;
    private final RequestDigest mDigest;
    private final long mArrivalMillis;
    private final long mArrivalElapsedMillis;
    private final Map<S, Long> mRunning = new LinkedHashMap<>();
    private final Set<Endpoint> mTried = new HashSet<>();
    private CompletableFuture<S> mPendingSlot;
    private boolean mMayHaveRun;
    private boolean mDone;
    private int mAttempts;
    private boolean mHoldsLock;

    /** The network between one VM and the targets. */
    interface Network {
        /**
         * Sends a request to a target.
         *
         * @param arrivalMillis when the VM received the request, since the start of the run
         * @param callback receives null on success, else the failure; never called if the path or
         *     the target drops the request
         */
        void send(
                Endpoint target,
                RequestLoad load,
                RequestDigest digest,
                long arrivalMillis,
                Consumer<FailureKind> callback);

        /**
         * Returns what a response of a target to this VM says of its availability.
         *
         * @param isRefused whether the target turns the request away
         */
        AvailabilityStatement readAvailability(Endpoint target, boolean isRefused);

        /** Returns what a response of a target to this VM says of its load. */
        LoadStatement readLoad(Endpoint target);

        /** Returns the target at an endpoint. */
        FleetTarget target(Endpoint target);

        /** Returns what a response of a target to this VM says of its request limit. */
        LimitStatement readLimit(Endpoint target);
    }

    SimulatedRequest(
            RequestLoad load,
            Placer<S> placer,
            Network network,
            EventScheduler scheduler,
            FleetStatistics statistics,
            PoisonPolicy poisonPolicy,
            RequestDigest digest) {
        mPoisonPolicy = poisonPolicy;
        mDigest = digest;
        mLoad = load;
        mPlacer = placer;
        mNetwork = network;
        mScheduler = scheduler;
        mStatistics = statistics;
        mArrivalMillis = scheduler.nowMillis();
        mArrivalElapsedMillis = scheduler.elapsedMillis();
    }

    @Override
    public String customer() {
        return "*";
    }

    @Override
    public RequestKind kind() {
        return mLoad.kind();
    }

    @Override
    public long arrivalMillis() {
        return mArrivalMillis;
    }

    @Override
    public long deadlineMillis() {
        return mArrivalMillis + mLoad.kind().deadline().toMillis();
    }

    void start() {
        mStatistics.onArrival(mLoad, mArrivalElapsedMillis);
        mScheduler.schedule(mLoad.kind().deadline().toMillis(), this::onDeadline);
        admit();
    }

    private void admit() {
        if (mDone || isBlocked()) {
            return;
        }
        awaitSlot(mPlacer.acquire(this));
    }

    private void awaitSlot(CompletableFuture<S> slot) {
        mPendingSlot = slot;
        Futures.whenDone(slot, this::onSlot);
    }

    private boolean isBlocked() {
        Treatment treatment = mPoisonPolicy.treatment(mDigest);
        if (!treatment.mayRun()) {
            rejectQuarantined();
            return true;
        }
        if (treatment == Treatment.USUAL || !mPoisonPolicy.digestLocks().isHeld(mDigest)) {
            return false;
        }
        if (!mPoisonPolicy.digestLocks().addWaiter(mDigest, this::admit)) {
            rejectQuarantined();
        }
        return true;
    }

    private void rejectQuarantined() {
        mDone = true;
        if (mMayHaveRun) {
            mStatistics.onFailed(mLoad, mArrivalElapsedMillis);
        } else {
            mStatistics.onQuarantined(mLoad, mArrivalElapsedMillis);
        }
    }

    private void releaseLock() {
        if (mHoldsLock) {
            mHoldsLock = false;
            mPoisonPolicy.digestLocks().release(mDigest);
        }
    }

    private void onSlot(S slot, Throwable failure) {
        mPendingSlot = null;
        if (failure != null) {
            if (!mDone) {
                mDone = true;
                if (mMayHaveRun) {
                    mStatistics.onFailed(mLoad, mArrivalElapsedMillis);
                } else {
                    mStatistics.onRefused(mLoad, mArrivalElapsedMillis);
                }
            }
            return;
        }
        if (!mDone && isBlocked()) {
            mPlacer.release(slot, Outcome.CANCELLED, 0);
            return;
        }
        send(slot);
    }

    private void send(S slot) {
        Endpoint target = mPlacer.target(slot);
        mAttempts++;
        if (mPoisonPolicy.treatment(mDigest) == Treatment.ALONE) {
            mPoisonPolicy.digestLocks().acquire(mDigest);
            mHoldsLock = true;
        }
        mStatistics.onAttempt(mLoad);
        mTried.add(target);
        mRunning.put(slot, mScheduler.nowMillis());
        if (mAttempts == 1) {
            long delay = mPlacer.hedgeDelayMillis(mLoad);
            if (delay >= 0) {
                mScheduler.schedule(delay, this::hedge);
            }
        }
        mNetwork.send(
                target,
                mLoad,
                mDigest,
                mArrivalElapsedMillis,
                failure -> onAttemptEnd(slot, failure));
    }

    private void hedge() {
        if (mDone || mRunning.size() != 1 || mAttempts != 1) {
            return;
        }
        if (!mPoisonPolicy.treatment(mDigest).mayRunAgain()) {
            return;
        }
        S running = mRunning.keySet().iterator().next();
        Optional<S> slot = mPlacer.hedge(this, running, Set.copyOf(mTried));
        if (slot.isPresent()) {
            send(slot.get());
        } else if (mPlacer.tryReplaceLost(this, running)) {
            replace(running);
        } else {
            mScheduler.schedule(HEDGE_RETRY_MILLIS, this::hedge);
        }
    }

    /** Aborts the only attempt, which frees its slot, and queues the request again. */
    private void replace(S running) {
        long sent = mRunning.remove(running);
        mMayHaveRun = true;
        releaseLock();
        mPlacer.release(running, Outcome.TIMEOUT, mScheduler.nowMillis() - sent);
        awaitSlot(mPlacer.reacquire(this, Set.copyOf(mTried)));
    }

    private void onAttemptEnd(S slot, FailureKind failure) {
        Long sent = mRunning.remove(slot);
        if (sent == null) {
            return;
        }
        if (failure == null || failure.isResponse()) {
            mPlacer.onLimitStatement(slot, mNetwork.readLimit(mPlacer.target(slot)));
            boolean isRefused = failure == FailureKind.REFUSED_NOT_PROCESSED;
            mPlacer.onAvailabilityStatement(
                    slot, mNetwork.readAvailability(mPlacer.target(slot), isRefused));
            mPlacer.onLoadStatement(slot, mNetwork.readLoad(mPlacer.target(slot)));
            if (isRefused) {
                mPlacer.onRejected(slot, mNetwork.readLoad(mPlacer.target(slot)));
            }
        }
        if (failure != null && failure.isTargetFault()) {
            mStatistics.onFailedAttempt();
        }
        if (failure != null && failure.brokeConnection()) {
            FleetTarget target = mNetwork.target(mPlacer.target(slot));
            TargetCrash crash = new TargetCrash(target.incarnation(), sent, mScheduler.nowMillis());
            mPoisonPolicy.onConnectionBroken(target, crash, mDigest, this::releaseLock);
        } else {
            releaseLock();
        }
        if (failure == null || failure == FailureKind.SERVER_ERROR) {
            mPoisonPolicy.onResponse(mDigest);
        }
        mPlacer.release(slot, outcome(failure), mScheduler.nowMillis() - sent);
        if (mDone) {
            return;
        }
        if (failure == null) {
            complete();
            mStatistics.onServed(
                    mLoad,
                    mArrivalElapsedMillis,
                    mScheduler.elapsedMillis() - mArrivalElapsedMillis);
            return;
        }
        mMayHaveRun |= failure.mayHaveRun();
        if (mRunning.isEmpty() && !retry(failure)) {
            complete();
            if (mMayHaveRun) {
                mStatistics.onFailed(mLoad, mArrivalElapsedMillis);
            } else {
                mStatistics.onRefused(mLoad, mArrivalElapsedMillis);
            }
        }
    }

    private boolean retry(FailureKind failure) {
        if (failure.brokeConnection() && !mPoisonPolicy.treatment(mDigest).mayRunAgain()) {
            return false;
        }
        FailedAttempt failed =
                new FailedAttempt(
                        kind(),
                        failure,
                        mMayHaveRun,
                        Set.copyOf(mTried),
                        mAttempts,
                        deadlineMillis());
        Optional<S> slot = mPlacer.retry(this, failed);
        if (slot.isPresent()) {
            send(slot.get());
            return true;
        }
        Optional<CompletableFuture<S>> queued = mPlacer.requeue(this, failed);
        queued.ifPresent(this::awaitSlot);
        return queued.isPresent();
    }

    private void onDeadline() {
        if (mDone) {
            return;
        }
        boolean mayHaveRun = mMayHaveRun || !mRunning.isEmpty();
        close(Outcome.TIMEOUT);
        if (mayHaveRun) {
            mStatistics.onFailed(mLoad, mArrivalElapsedMillis);
        } else {
            mStatistics.onRefused(mLoad, mArrivalElapsedMillis);
        }
    }

    private void complete() {
        close(Outcome.CANCELLED);
    }

    private void close(Outcome outcome) {
        mDone = true;
        if (mPendingSlot != null) {
            mPendingSlot.cancel(false);
        }
        Map<S, Long> running = Map.copyOf(mRunning);
        mRunning.clear();
        releaseLock();
        running.forEach(
                (slot, sent) -> mPlacer.release(slot, outcome, mScheduler.nowMillis() - sent));
    }

    private static Outcome outcome(FailureKind failure) {
        if (failure == null) {
            return Outcome.SUCCESS;
        }
        return switch (failure) {
            case CONNECT_FAILED -> Outcome.CONNECT_FAILED;
            case REFUSED_NOT_PROCESSED -> Outcome.REFUSED_SHED;
            case SERVER_ERROR -> Outcome.FAILURE;
            case TIMED_OUT -> Outcome.TIMEOUT;
            case CUT_SHORT, RESET_AFTER_SEND -> Outcome.CUT_SHORT;
            case CANCELLED_BY_CALLER -> Outcome.CANCELLED;
        };
    }
}
