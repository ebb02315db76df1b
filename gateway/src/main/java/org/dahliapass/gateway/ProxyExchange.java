package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.decisions.poison.Treatment;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.http.ServerCall;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.traffic.RefusedException;
import org.dahliapass.traffic.Slot;

/**
 * Serves one request from its first offer to its one answer.
 *
 * <p>A request that must not repeat is offered again only after a proof that it didn't run; one
 * that may repeat also after a failure, and beside an offer that is slow. A refusal that promises
 * "not run" is given only while no offer may have run. All state belongs to the traffic thread.
 */
final class ProxyExchange {
    private static final int SERVER_ERROR = 500;

    /** Chances are logged with two decimals. */
    private static final double PERCENT = 100.0;

    /** Offers that found no connection reach no target; more than a few are a waste of time. */
    private static final int MOST_OFFERS = 6;

    /**
     * A hedge for which no slot or budget was left is asked for again after this time. Guards
     * against a read that waits its whole time for a target that hangs, because all others were
     * full for one moment; slots come free about every 10 ms at the usual load.
     */
    private static final long HEDGE_AGAIN_MILLIS = 100;

    private final ServerCall mCall;
    private final ProxyRequest mRequest;
    private final ServicePool mPool;
    private final TargetConnections mConnections;
    private final Clock mClock;
    private final EventLoop mLoop;
    private final EventLog mLog;
    private final GatewayResponses mAnswers;
    private final PoisonGuard mGuard;
    private final List<TargetAttempt> mRunning = new ArrayList<>();
    private final List<JsonObject> mHistory = new ArrayList<>();
    private final Set<Endpoint> mTried = new HashSet<>();
    private CompletableFuture<Slot> mWaiting;
    private ScheduledFuture<?> mDeadline;
    private ScheduledFuture<?> mHedge;
    private Optional<AttemptResult.Responded> mError = Optional.empty();
    private Optional<RequestDigest> mDigest = Optional.empty();
    private int mReached;
    private int mOffers;
    private boolean mHasTurn;
    private boolean mMayHaveRun;
    private boolean mDone;

    ProxyExchange(
            ServerCall call,
            ProxyRequest request,
            ServicePool pool,
            TargetConnections connections,
            Clock clock,
            EventLog log,
            GatewayResponses answers,
            PoisonGuard guard) {
        mCall = call;
        mRequest = request;
        mPool = pool;
        mConnections = connections;
        mClock = clock;
        mLoop = call.loop();
        mLog = log;
        mAnswers = answers;
        mGuard = guard;
    }

    /**
     * Starts the exchange.
     *
     * <p>Guards against work that is sent to a target after its caller has left, while it waited
     * for a slot: the close of the connection itself ends the exchange, whatever state the answer
     * is in.
     */
    void start() {
        long remaining = mRequest.remainingMillis(mClock.millis());
        mDeadline = mLoop.schedule(this::onDeadline, remaining, TimeUnit.MILLISECONDS);
        mCall.onDisconnect(this::onCallerGone);
        admit();
    }

    /** Asks for a slot, waits for the turn of a suspected request, or refuses one for good. */
    private void admit() {
        if (mDone || isHeldBack()) {
            return;
        }
        await(mPool.runtime().acquire(mRequest, Set.of()));
    }

    /**
     * Refuses the request, or lets it wait, if targets ended under others like it and it may not be
     * offered now.
     */
    private boolean isHeldBack() {
        Treatment treatment = treatment();
        if (!treatment.mayRun()) {
            refuseQuarantined();
            return true;
        }
        if (treatment == Treatment.USUAL || !mGuard.turns().isHeld(digest())) {
            return false;
        }
        if (mOffers > 0 || !mGuard.turns().addWaiter(digest(), this::admit)) {
            finishUnlessRunning();
        }
        return true;
    }

    private Treatment treatment() {
        return mGuard.treatment(this::digest);
    }

    private void refuseQuarantined() {
        long wait = mGuard.onRefused(digest());
        if (mMayHaveRun || !mRunning.isEmpty()) {
            finishUnlessRunning();
            return;
        }
        finish(
                mAnswers.quarantined(wait),
                GatewayResponses.UNAVAILABLE,
                "targets ended under requests like it");
    }

    private void await(CompletableFuture<Slot> slot) {
        mWaiting = slot;
        Futures.whenDone(
                slot,
                (given, failure) -> {
                    if (mLoop.inEventLoop()) {
                        onSlot(given, failure);
                    } else {
                        mLoop.execute(() -> onSlot(given, failure));
                    }
                });
    }

    private void onSlot(Slot slot, Throwable failure) {
        mWaiting = null;
        if (failure != null) {
            if (!mDone && mRunning.isEmpty()) {
                refuse(failure);
            }
            return;
        }
        TargetAttempt offer = new TargetAttempt(mRequest, slot, mPool, mConnections, mClock);
        if (mDone) {
            offer.abort(FailureKind.CANCELLED_BY_CALLER);
            return;
        }
        if (isHeldBack()) {
            offer.abort(FailureKind.CANCELLED_BY_CALLER);
            return;
        }
        offer(offer);
    }

    private void offer(TargetAttempt offer) {
        planHedge();
        if (treatment() == Treatment.ALONE) {
            mGuard.turns().acquire(digest());
            mHasTurn = true;
        }
        mOffers++;
        mTried.add(offer.target());
        mRunning.add(offer);
        Futures.whenDone(offer.send(), (result, failure) -> onResult(offer, result, failure));
    }

    private void planHedge() {
        OptionalLong delay = mPool.runtime().hedgeDelayMillis(mRequest.kind());
        if (delay.isPresent() && mHedge == null) {
            mHedge = mLoop.schedule(this::hedge, delay.getAsLong(), TimeUnit.MILLISECONDS);
        }
    }

    private void onResult(TargetAttempt offer, AttemptResult result, Throwable failure) {
        if (!mRunning.remove(offer)) {
            // It was stopped, and noted then; what its connection still reported is no news.
            discard(result);
            return;
        }
        boolean checked =
                result instanceof AttemptResult.Failed failed && noteBroken(offer, failed);
        if (!checked) {
            giveTurnBack();
        }
        if (failure != null) {
            note(offer, "failed: " + failure);
            mMayHaveRun = true;
            finishUnlessRunning();
        } else if (result instanceof AttemptResult.Responded answered) {
            note(offer, "answered " + answered.status());
            onAnswered(answered);
        } else if (result instanceof AttemptResult.Failed failed) {
            note(offer, failed.kind() + ": " + failed.cause());
            onFailed(failed);
        }
    }

    /**
     * Has it checked whether the target ended, if the connection broke.
     *
     * @return whether it is checked, after which the turn is given back
     */
    private boolean noteBroken(TargetAttempt offer, AttemptResult.Failed failed) {
        if (!failed.kind().brokeConnection()) {
            return false;
        }
        mGuard.onConnectionBroken(offer, digest(), this::giveTurnBack);
        return true;
    }

    private void giveTurnBack() {
        if (mHasTurn) {
            mHasTurn = false;
            mGuard.turns().release(digest());
        }
    }

    /** Digests the request once; most requests never need it. */
    private RequestDigest digest() {
        if (mDigest.isEmpty()) {
            mDigest = Optional.of(mRequest.digest());
        }
        return mDigest.get();
    }

    private void onAnswered(AttemptResult.Responded answered) {
        mMayHaveRun = true;
        mReached++;
        if (answered.isComplete()) {
            mGuard.onResponse(this::digest);
        }
        if (mDone) {
            // The caller left while a request that must not repeat was still at its target.
            answered.response().discard();
            return;
        }
        boolean error = answered.status() >= SERVER_ERROR;
        if (!error) {
            finish(answered.response(), answered.status(), "answered");
            return;
        }
        mError.ifPresent(old -> old.response().discard());
        mError = Optional.of(answered);
        if (!mRunning.isEmpty() || retry(answered.target(), FailureKind.SERVER_ERROR)) {
            return;
        }
        finishUnlessRunning();
    }

    private void onFailed(AttemptResult.Failed failed) {
        boolean reached = failed.kind() != FailureKind.CONNECT_FAILED;
        mMayHaveRun |= failed.kind().mayHaveRun() && reached;
        if (reached) {
            mReached++;
        }
        if (mDone || !mRunning.isEmpty()) {
            return;
        }
        if (!reached && mOffers < MOST_OFFERS && mRequest.remainingMillis(mClock.millis()) > 0) {
            await(mPool.runtime().reacquire(mRequest, Set.copyOf(mTried)));
            return;
        }
        if (retry(failed.target(), failed.kind())) {
            return;
        }
        finishUnlessRunning();
    }

    private boolean retry(Endpoint target, FailureKind kind) {
        mTried.add(target);
        if (mReached >= mRequest.route().maxTargets() || mOffers >= MOST_OFFERS) {
            return false;
        }
        if (kind.brokeConnection() && !treatment().mayRunAgain()) {
            return false;
        }
        FailedAttempt failed =
                new FailedAttempt(
                        mRequest.kind(),
                        kind,
                        mMayHaveRun,
                        Set.copyOf(mTried),
                        mReached,
                        mRequest.deadlineMillis());
        Optional<Slot> slot = mPool.runtime().retry(mRequest, failed);
        slot.ifPresent(given -> onSlot(given, null));
        return slot.isPresent();
    }

    private void hedge() {
        if (mDone || mRunning.size() != 1 || mWaiting != null) {
            return;
        }
        if (mReached + 1 >= mRequest.route().maxTargets() || !treatment().mayRunAgain()) {
            return;
        }
        Optional<Slot> slot = mPool.runtime().hedge(mRequest, Set.copyOf(mTried));
        if (slot.isPresent()) {
            onSlot(slot.get(), null);
        } else if (mRequest.remainingMillis(mClock.millis()) > HEDGE_AGAIN_MILLIS) {
            mHedge = mLoop.schedule(this::hedge, HEDGE_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the exchange if nothing runs that might still answer. */
    private void finishUnlessRunning() {
        if (mDone || !mRunning.isEmpty() || mWaiting != null) {
            return;
        }
        if (mError.isPresent()) {
            AttemptResult.Responded error = mError.get();
            finish(error.response(), error.status(), "the target's own failure");
        } else if (mMayHaveRun) {
            finish(mAnswers.failed(), GatewayResponses.BAD_GATEWAY, "may have run");
        } else {
            long wait = mAnswers.retryAfterMillis(mRequest.remainingMillis(mClock.millis()));
            finish(mAnswers.refused(wait), GatewayResponses.UNAVAILABLE, "no target took it");
        }
    }

    private void refuse(Throwable failure) {
        if (mMayHaveRun) {
            finishUnlessRunning();
            return;
        }
        Throwable cause = Futures.unwrap(failure);
        String reason = cause instanceof RefusedException ? cause.getMessage() : cause.toString();
        long wait = mAnswers.retryAfterMillis(mRequest.remainingMillis(mClock.millis()));
        finish(mAnswers.refused(wait), GatewayResponses.UNAVAILABLE, reason);
    }

    /**
     * Guards against a request that runs long after its caller left: one that must not repeat goes
     * on at its target then, but over a cut link it may not have arrived there yet.
     */
    private void onDeadline() {
        if (mDone) {
            stopOffers(FailureKind.TIMED_OUT);
            return;
        }
        boolean mayHaveRun = mMayHaveRun || !mRunning.isEmpty();
        // Done first: an offer that is stopped ends at once, and must not lead to another one.
        mDone = true;
        stopOffers(FailureKind.TIMED_OUT);
        if (mError.isPresent()) {
            finish(mError.get().response(), mError.get().status(), "the target's own failure");
        } else if (mayHaveRun) {
            finish(mAnswers.timedOut(), GatewayResponses.TIMEOUT, "the time is over");
        } else {
            finish(mAnswers.refused(0), GatewayResponses.UNAVAILABLE, "no slot came free in time");
        }
    }

    /**
     * A request that may repeat is stopped at its target, which has better to do. One that must not
     * repeat goes on once it was sent, until its time is over: stopping it midway would leave its
     * effect unknown.
     */
    private void onCallerGone() {
        if (mDone) {
            return;
        }
        finish(null, 0, "the caller left");
    }

    private void stopOffers(FailureKind kind) {
        if (mWaiting != null) {
            mWaiting.cancel(false);
        }
        // Taken out first: an offer that is stopped ends at once, and would be noted twice.
        List<TargetAttempt> stopped = List.copyOf(mRunning);
        mRunning.clear();
        giveTurnBack();
        for (TargetAttempt offer : stopped) {
            note(offer, "stopped: " + kind);
            offer.abort(kind);
        }
    }

    private void finish(CallerResponse answer, int status, String outcome) {
        mDone = true;
        if (mHedge != null) {
            mHedge.cancel(false);
        }
        if (answer != null) {
            answer.send(mCall);
        }
        if (mRequest.kind().idempotency().isRepeatable()) {
            stopOffers(FailureKind.CANCELLED_BY_CALLER);
        } else if (mWaiting != null) {
            mWaiting.cancel(false);
        }
        if (mRunning.isEmpty()) {
            mDeadline.cancel(false);
        }
        mError.filter(error -> error.response() != answer)
                .ifPresent(error -> error.response().discard());
        log(status, outcome);
    }

    private static void discard(AttemptResult result) {
        if (result instanceof AttemptResult.Responded answered) {
            answered.response().discard();
        }
    }

    private void note(TargetAttempt offer, String end) {
        JsonObject entry = new JsonObject();
        entry.put("target", offer.target().toString())
                .put("instance", offer.instance().name())
                .put("bout_chance", Math.round(offer.failureProbability() * PERCENT) / PERCENT)
                .put("sent_after_ms", offer.sentMillis() - mRequest.arrivalMillis())
                .put("took_ms", mClock.millis() - offer.sentMillis())
                .put("end", end);
        mHistory.add(entry);
    }

    private void log(int status, String outcome) {
        long now = mClock.millis();
        mLog.write(
                EventLog.Kind.REQUEST,
                "request",
                line -> {
                    line.put("id", mRequest.id())
                            .put("route", mRequest.route().name())
                            .put("version", mRequest.version())
                            .put("kind", mRequest.kind().name())
                            .put("service", mRequest.service())
                            .put("took_ms", now - mRequest.arrivalMillis())
                            .put("left_ms", mRequest.deadlineMillis() - now)
                            .put("status", status)
                            .put("outcome", outcome)
                            .putList("offers", mHistory);
                    mDigest.ifPresent(digest -> line.put("digest", digest.hex()));
                });
    }
}
