package org.dahliapass.lab.fleet;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.dahliapass.decisions.health.Outcome;
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
 * One request from its arrival to its one end, by the rules of the exchange of a gateway VM.
 *
 * @param <S> what a try holds while it runs
 */
final class SimulatedRequest<S> implements SlotRequest {
    private static final long HEDGE_AGAIN_MILLIS = 100;

    private final RequestLoad mLoad;
    private final Placer<S> mPlacer;
    private final Network mPaths;
    private final EventScheduler mTimeline;
    private final FleetStatistics mTally;
    private final PoisonPolicy mGuard;
    private final RequestDigest mDigest;
    private final long mArrivalMillis;
    private final long mArrivalElapsedMillis;
    private final Map<S, Long> mRunning = new LinkedHashMap<>();
    private final Set<Endpoint> mTried = new HashSet<>();
    private CompletableFuture<S> mWaiting;
    private boolean mMayHaveRun;
    private boolean mDone;
    private int mTries;
    private boolean mHasTurn;

    /** Reaches a target from one VM. */
    interface Network {
        /** Sends work; the end never comes if the path or the target swallows it. */
        void send(
                Endpoint target, RequestLoad load, RequestDigest digest, Consumer<FailureKind> end);

        /** Returns the target at an address. */
        FleetTarget target(Endpoint target);
    }

    SimulatedRequest(
            RequestLoad load,
            Placer<S> placer,
            Network paths,
            EventScheduler timeline,
            FleetStatistics tally,
            PoisonPolicy guard,
            RequestDigest digest) {
        mGuard = guard;
        mDigest = digest;
        mLoad = load;
        mPlacer = placer;
        mPaths = paths;
        mTimeline = timeline;
        mTally = tally;
        mArrivalMillis = timeline.nowMillis();
        mArrivalElapsedMillis = timeline.elapsedMillis();
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
        mTally.onArrival(mLoad, mArrivalElapsedMillis);
        mTimeline.schedule(mLoad.kind().deadline().toMillis(), this::onDeadline);
        admit();
    }

    private void admit() {
        if (mDone || isHeldBack()) {
            return;
        }
        CompletableFuture<S> place = mPlacer.acquire(this);
        mWaiting = place;
        Futures.whenDone(place, this::onPlace);
    }

    private boolean isHeldBack() {
        Treatment treatment = mGuard.treatment(mDigest);
        if (!treatment.mayRun()) {
            refuseQuarantined();
            return true;
        }
        if (treatment == Treatment.USUAL || !mGuard.digestLocks().isHeld(mDigest)) {
            return false;
        }
        if (!mGuard.digestLocks().addWaiter(mDigest, this::admit)) {
            refuseQuarantined();
        }
        return true;
    }

    private void refuseQuarantined() {
        mDone = true;
        if (mMayHaveRun) {
            mTally.onFailed(mLoad, mArrivalElapsedMillis);
        } else {
            mTally.onQuarantined(mLoad, mArrivalElapsedMillis);
        }
    }

    private void giveTurnBack() {
        if (mHasTurn) {
            mHasTurn = false;
            mGuard.digestLocks().release(mDigest);
        }
    }

    private void onPlace(S place, Throwable failure) {
        mWaiting = null;
        if (failure != null) {
            if (!mDone) {
                mDone = true;
                mTally.onRefused(mLoad, mArrivalElapsedMillis);
            }
            return;
        }
        if (!mDone && isHeldBack()) {
            mPlacer.release(place, Outcome.CANCELLED, 0);
            return;
        }
        send(place);
    }

    private void send(S place) {
        Endpoint target = mPlacer.target(place);
        mTries++;
        if (mGuard.treatment(mDigest) == Treatment.ALONE) {
            mGuard.digestLocks().acquire(mDigest);
            mHasTurn = true;
        }
        mTally.onAttempt(mLoad);
        mTried.add(target);
        mRunning.put(place, mTimeline.nowMillis());
        if (mTries == 1) {
            long delay = mPlacer.hedgeDelayMillis(mLoad);
            if (delay >= 0) {
                mTimeline.schedule(delay, this::hedge);
            }
        }
        mPaths.send(target, mLoad, mDigest, failure -> onEnd(place, failure));
    }

    private void hedge() {
        if (mDone || mRunning.size() != 1 || mTries != 1) {
            return;
        }
        if (!mGuard.treatment(mDigest).mayRunAgain()) {
            return;
        }
        Optional<S> place = mPlacer.hedge(this, Set.copyOf(mTried));
        place.ifPresent(this::send);
        if (place.isEmpty()) {
            mTimeline.schedule(HEDGE_AGAIN_MILLIS, this::hedge);
        }
    }

    private void onEnd(S place, FailureKind failure) {
        Long sent = mRunning.remove(place);
        if (sent == null) {
            return;
        }
        if (failure != null && failure.isTargetFault()) {
            mTally.onFailedAttempt();
        }
        if (failure != null && failure.brokeConnection()) {
            FleetTarget target = mPaths.target(mPlacer.target(place));
            TargetCrash end = new TargetCrash(target.incarnation(), sent, mTimeline.nowMillis());
            mGuard.onConnectionBroken(target, end, mDigest, this::giveTurnBack);
        } else {
            giveTurnBack();
        }
        if (failure == null || failure == FailureKind.SERVER_ERROR) {
            mGuard.onResponse(mDigest);
        }
        mPlacer.release(place, outcome(failure), mTimeline.nowMillis() - sent);
        if (mDone) {
            return;
        }
        if (failure == null) {
            finish();
            mTally.onServed(
                    mLoad,
                    mArrivalElapsedMillis,
                    mTimeline.elapsedMillis() - mArrivalElapsedMillis);
            return;
        }
        mMayHaveRun |= failure.mayHaveRun();
        if (mRunning.isEmpty() && !retry(failure)) {
            finish();
            if (mMayHaveRun) {
                mTally.onFailed(mLoad, mArrivalElapsedMillis);
            } else {
                mTally.onRefused(mLoad, mArrivalElapsedMillis);
            }
        }
    }

    private boolean retry(FailureKind failure) {
        if (failure.brokeConnection() && !mGuard.treatment(mDigest).mayRunAgain()) {
            return false;
        }
        FailedAttempt failed =
                new FailedAttempt(
                        kind(), failure, mMayHaveRun, Set.copyOf(mTried), mTries, deadlineMillis());
        Optional<S> place = mPlacer.retry(this, failed);
        place.ifPresent(this::send);
        return place.isPresent();
    }

    private void onDeadline() {
        if (mDone) {
            return;
        }
        boolean mayHaveRun = mMayHaveRun || !mRunning.isEmpty();
        stop(Outcome.TIMEOUT);
        if (mayHaveRun) {
            mTally.onFailed(mLoad, mArrivalElapsedMillis);
        } else {
            mTally.onRefused(mLoad, mArrivalElapsedMillis);
        }
    }

    private void finish() {
        stop(Outcome.CANCELLED);
    }

    private void stop(Outcome outcome) {
        mDone = true;
        if (mWaiting != null) {
            mWaiting.cancel(false);
        }
        Map<S, Long> running = Map.copyOf(mRunning);
        mRunning.clear();
        giveTurnBack();
        running.forEach(
                (place, sent) -> mPlacer.release(place, outcome, mTimeline.nowMillis() - sent));
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
