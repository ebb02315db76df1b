package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.decisions.access.Authentication;
import org.dahliapass.decisions.access.CallerIdentity;
import org.dahliapass.decisions.access.RejectionReason;
import org.dahliapass.decisions.limits.LimitStatement;
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
 * Serves one request from its first attempt at a target to its single response.
 *
 * <p>An at-most-once request is sent again only after proof that it was not executed. A repeatable
 * request is also retried after a failure and hedged when an attempt is slow. A response that
 * promises "not executed" is sent only while no attempt may have run. Confined to the traffic
 * thread.
 */
final class ProxyExchange {
    private static final int SERVER_ERROR = 500;

    private static final double HUNDREDTHS = 100.0;

    /** Includes attempts that found no connection and so reached no target. */
    private static final int MAX_ATTEMPTS = 6;

    /**
     * The delay before a hedge that got no slot or budget is retried. Guards against a read that
     * waits for a hung target until its deadline because all other targets were briefly full.
     */
    private static final long HEDGE_RETRY_MILLIS = 100;

    private static final String CALLER_LEFT = "the caller left";

    private final ServerCall mCall;
    private final ProxyRequest mRequest;
    private final ServicePool mPool;
    private final TargetConnections mConnections;
    private final Clock mClock;
    private final EventLoop mLoop;
    private final EventLog mLog;
    private final GatewayResponses mResponses;
    private final PoisonGuard mGuard;
    private final RequestAuthenticator mAuthenticator;
    private final CustomerLimits mLimits;
    private final WaitLog mWaits;
    private final List<TargetAttempt> mRunningAttempts = new ArrayList<>();
    private final List<JsonObject> mAttemptLog = new ArrayList<>();
    private final Set<Endpoint> mTriedTargets = new HashSet<>();
    private CompletableFuture<Slot> mPendingSlot;
    private ScheduledFuture<?> mDeadlineTimer;
    private ScheduledFuture<?> mHedgeTimer;
    private Optional<AttemptResult.Responded> mErrorResponse = Optional.empty();
    private Optional<RequestDigest> mDigest = Optional.empty();
    private int mTargetsReached;
    private int mAttempts;
    private boolean mHoldsDigestLock;
    private boolean mMayHaveExecuted;
    private boolean mFinished;

    ProxyExchange(
            ServerCall call,
            ProxyRequest request,
            ServicePool pool,
            TargetConnections connections,
            Clock clock,
            EventLog log,
            GatewayResponses responses,
            PoisonGuard guard,
            RequestAuthenticator authenticator,
            CustomerLimits limits,
            WaitLog waits) {
        mCall = call;
        mRequest = request;
        mPool = pool;
        mConnections = connections;
        mClock = clock;
        mLoop = call.loop();
        mLog = log;
        mResponses = responses;
        mGuard = guard;
        mAuthenticator = authenticator;
        mLimits = limits;
        mWaits = waits;
    }

    /**
     * Starts the exchange.
     *
     * <p>Guards against sending a queued request to a target after its caller has disconnected: the
     * close of the connection ends the exchange in any state of the response.
     */
    void start() {
        long remaining = mRequest.remainingMillis(mClock.millis());
        mDeadlineTimer = mLoop.schedule(this::onDeadline, remaining, TimeUnit.MILLISECONDS);
        mCall.onDisconnect(this::onCallerDisconnected);
        admit();
    }

    /** Requests a slot, unless the request is suspected and has to wait or is rejected. */
    private void admit() {
        if (mFinished || isDeferredOrRejected()) {
            return;
        }
        awaitSlot(mPool.runtime().acquire(mRequest, Set.of()));
    }

    /**
     * Returns whether the request is deferred or rejected, because targets crashed while they ran
     * requests with the same digest.
     */
    private boolean isDeferredOrRejected() {
        Treatment treatment = treatment();
        if (!treatment.mayRun()) {
            rejectQuarantined();
            return true;
        }
        if (treatment == Treatment.USUAL || !mGuard.digestLocks().isHeld(digest())) {
            return false;
        }
        if (mAttempts > 0 || !mGuard.digestLocks().addWaiter(digest(), this::admit)) {
            finishIfIdle();
        } else {
            mWaits.start(WaitLog.Cause.DIGEST, mClock.millis());
        }
        return true;
    }

    private Treatment treatment() {
        return mGuard.treatment(this::digest);
    }

    private void rejectQuarantined() {
        long retryAfter = mGuard.onRefused(digest());
        if (mMayHaveExecuted || !mRunningAttempts.isEmpty()) {
            finishIfIdle();
            return;
        }
        finish(
                mResponses.quarantined(retryAfter),
                GatewayResponses.UNAVAILABLE,
                "targets ended under requests like it");
    }

    private void awaitSlot(CompletableFuture<Slot> slot) {
        mPendingSlot = slot;
        mWaits.start(WaitLog.Cause.SLOT, mClock.millis());
        Futures.whenDone(
                slot,
                (granted, failure) -> {
                    if (mLoop.inEventLoop()) {
                        onSlot(granted, failure);
                    } else {
                        mLoop.execute(() -> onSlot(granted, failure));
                    }
                });
    }

    private void onSlot(Slot slot, Throwable failure) {
        mPendingSlot = null;
        mWaits.end(mClock.millis());
        if (failure != null) {
            if (!mFinished && mRunningAttempts.isEmpty()) {
                reject(failure);
            }
            return;
        }
        TargetAttempt attempt =
                new TargetAttempt(
                        mRequest,
                        slot,
                        mPool,
                        mConnections,
                        mClock,
                        nextCause(),
                        mCall::isClientConnected);
        if (mFinished) {
            attempt.abort(FailureKind.CANCELLED_BY_CALLER);
            return;
        }
        if (isDeferredOrRejected()) {
            attempt.abort(FailureKind.CANCELLED_BY_CALLER);
            return;
        }
        Authentication authentication = mAuthenticator.reauthenticate(mRequest);
        if (authentication instanceof Authentication.Accepted accepted) {
            start(attempt, accepted.identity());
        } else if (authentication instanceof Authentication.Rejected rejected) {
            attempt.abort(FailureKind.CANCELLED_BY_CALLER);
            rejectUnauthenticated(rejected.reason());
        }
    }

    private AttemptCause nextCause() {
        if (mAttempts == 0) {
            return AttemptCause.FIRST;
        }
        return mRunningAttempts.isEmpty() ? AttemptCause.RETRY : AttemptCause.HEDGE;
    }

    private void rejectUnauthenticated(RejectionReason reason) {
        if (mMayHaveExecuted || !mRunningAttempts.isEmpty()) {
            finishIfIdle();
            return;
        }
        if (reason.isDefinite()) {
            finish(
                    mResponses.unauthenticated(),
                    GatewayResponses.UNAUTHENTICATED,
                    reason.description());
        } else {
            refuse(reason.description());
        }
    }

    private void start(TargetAttempt attempt, CallerIdentity identity) {
        scheduleHedge();
        if (treatment() == Treatment.ALONE) {
            mGuard.digestLocks().acquire(digest());
            mHoldsDigestLock = true;
        }
        mAttempts++;
        mTriedTargets.add(attempt.target());
        mRunningAttempts.add(attempt);
        Futures.whenDone(
                attempt.send(identity), (result, failure) -> onResult(attempt, result, failure));
    }

    private void scheduleHedge() {
        OptionalLong delay = mPool.runtime().hedgeDelayMillis(mRequest.kind());
        if (delay.isPresent() && mHedgeTimer == null) {
            mHedgeTimer =
                    mLoop.schedule(this::startHedge, delay.getAsLong(), TimeUnit.MILLISECONDS);
        }
    }

    private void onResult(TargetAttempt attempt, AttemptResult result, Throwable failure) {
        if (!mRunningAttempts.remove(attempt)) {
            // The attempt was aborted and is recorded already.
            discardResponse(result);
            return;
        }
        boolean isChecking =
                result instanceof AttemptResult.Failed failed && checkBrokenTarget(attempt, failed);
        if (!isChecking) {
            releaseDigestLock();
        }
        if (failure != null) {
            recordAttempt(attempt, "failed: " + failure);
            mMayHaveExecuted = true;
            finishIfIdle();
        } else if (result instanceof AttemptResult.Responded responded) {
            recordAttempt(attempt, "answered " + responded.status());
            onResponse(responded);
        } else if (result instanceof AttemptResult.Failed failed) {
            recordAttempt(attempt, failed.kind() + ": " + failed.cause());
            onFailed(failed);
        } else {
            // The close of the caller's connection or the deadline ends the exchange.
            recordAttempt(attempt, "not sent: the caller left or its time is over");
        }
    }

    /**
     * Starts a liveness check of the target if the attempt's connection broke.
     *
     * @return whether a check was started, which releases the digest's lock when it ends
     */
    private boolean checkBrokenTarget(TargetAttempt attempt, AttemptResult.Failed failed) {
        if (!failed.kind().brokeConnection()) {
            return false;
        }
        mGuard.onConnectionBroken(attempt, digest(), this::releaseDigestLock);
        return true;
    }

    private void releaseDigestLock() {
        if (mHoldsDigestLock) {
            mHoldsDigestLock = false;
            mGuard.digestLocks().release(digest());
        }
    }

    /** Computed on first use: most requests never need their digest. */
    private RequestDigest digest() {
        if (mDigest.isEmpty()) {
            mDigest = Optional.of(mRequest.digest());
        }
        return mDigest.get();
    }

    private void onResponse(AttemptResult.Responded responded) {
        mMayHaveExecuted = true;
        mTargetsReached++;
        if (responded.isComplete()) {
            mGuard.onResponse(this::digest);
        }
        if (mFinished) {
            // The caller disconnected while an at-most-once request was running.
            responded.response().discard();
            return;
        }
        boolean error = responded.status() >= SERVER_ERROR;
        if (!error) {
            finish(responded.response(), responded.status(), "answered");
            return;
        }
        mErrorResponse.ifPresent(previous -> previous.response().discard());
        mErrorResponse = Optional.of(responded);
        if (!mRunningAttempts.isEmpty() || retry(responded.target(), FailureKind.SERVER_ERROR)) {
            return;
        }
        finishIfIdle();
    }

    private void onFailed(AttemptResult.Failed failed) {
        boolean hasReachedTarget = failed.kind() != FailureKind.CONNECT_FAILED;
        mMayHaveExecuted |= failed.kind().mayHaveRun() && hasReachedTarget;
        if (hasReachedTarget) {
            mTargetsReached++;
        }
        if (mFinished || !mRunningAttempts.isEmpty()) {
            return;
        }
        if (!hasReachedTarget
                && mAttempts < MAX_ATTEMPTS
                && mRequest.remainingMillis(mClock.millis()) > 0) {
            awaitSlot(mPool.runtime().reacquire(mRequest, Set.copyOf(mTriedTargets)));
            return;
        }
        if (retry(failed.target(), failed.kind())) {
            return;
        }
        finishIfIdle();
    }

    private boolean retry(Endpoint target, FailureKind kind) {
        mTriedTargets.add(target);
        if (mTargetsReached >= mRequest.route().maxTargets() || mAttempts >= MAX_ATTEMPTS) {
            return false;
        }
        if (kind.brokeConnection() && !treatment().mayRunAgain()) {
            return false;
        }
        FailedAttempt failedAttempt =
                new FailedAttempt(
                        mRequest.kind(),
                        kind,
                        mMayHaveExecuted,
                        Set.copyOf(mTriedTargets),
                        mTargetsReached,
                        mRequest.deadlineMillis());
        Optional<Slot> slot = mPool.runtime().retry(mRequest, failedAttempt);
        slot.ifPresent(granted -> onSlot(granted, null));
        return slot.isPresent();
    }

    private void startHedge() {
        if (mFinished || mRunningAttempts.size() != 1 || mPendingSlot != null) {
            return;
        }
        if (mTargetsReached + 1 >= mRequest.route().maxTargets() || !treatment().mayRunAgain()) {
            return;
        }
        Optional<Slot> slot = mPool.runtime().hedge(mRequest, Set.copyOf(mTriedTargets));
        if (slot.isPresent()) {
            onSlot(slot.get(), null);
        } else if (mRequest.remainingMillis(mClock.millis()) > HEDGE_RETRY_MILLIS) {
            mHedgeTimer =
                    mLoop.schedule(this::startHedge, HEDGE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Finishes the exchange unless an attempt or a slot is pending. */
    private void finishIfIdle() {
        if (mFinished || !mRunningAttempts.isEmpty() || mPendingSlot != null) {
            return;
        }
        if (mErrorResponse.isPresent()) {
            AttemptResult.Responded error = mErrorResponse.get();
            finish(error.response(), error.status(), "the target's own failure");
        } else if (mMayHaveExecuted) {
            finish(mResponses.failed(), GatewayResponses.BAD_GATEWAY, "may have run");
        } else {
            refuse("no target took it");
        }
    }

    private void refuse(String outcome) {
        long retryAfter = mResponses.retryAfterMillis(mRequest.remainingMillis(mClock.millis()));
        finish(mResponses.refused(retryAfter), GatewayResponses.UNAVAILABLE, outcome);
    }

    private void reject(Throwable failure) {
        if (mMayHaveExecuted) {
            finishIfIdle();
            return;
        }
        Throwable cause = Futures.unwrap(failure);
        refuse(cause instanceof RefusedException ? cause.getMessage() : cause.toString());
    }

    /**
     * Aborts the remaining attempts, including an at-most-once request whose caller has
     * disconnected: on a partitioned network it may not have reached its target yet.
     */
    private void onDeadline() {
        if (mFinished) {
            abortAttempts(FailureKind.TIMED_OUT);
            return;
        }
        mMayHaveExecuted |= !mRunningAttempts.isEmpty();
        // Set first: aborting an attempt completes it at once, which must not start another one.
        mFinished = true;
        abortAttempts(FailureKind.TIMED_OUT);
        if (mErrorResponse.isPresent()) {
            finish(
                    mErrorResponse.get().response(),
                    mErrorResponse.get().status(),
                    "the target's own failure");
        } else if (mMayHaveExecuted) {
            finish(mResponses.timedOut(), GatewayResponses.TIMEOUT, "the time is over");
        } else {
            finish(
                    mResponses.refused(0),
                    GatewayResponses.UNAVAILABLE,
                    "no slot came free in time");
        }
    }

    /**
     * Ends the exchange after the caller disconnected. Repeatable requests are aborted at their
     * targets; at-most-once requests that were sent run until their deadline, because aborting one
     * leaves its effect unknown.
     */
    private void onCallerDisconnected() {
        if (mFinished) {
            return;
        }
        finish(null, 0, CALLER_LEFT);
    }

    private void abortAttempts(FailureKind kind) {
        if (mPendingSlot != null) {
            mPendingSlot.cancel(false);
        }
        List<TargetAttempt> aborted = List.copyOf(mRunningAttempts);
        mRunningAttempts.clear();
        releaseDigestLock();
        abort(aborted, kind);
    }

    /** Aborts the attempts that have sent nothing yet. */
    private void abortUnsentAttempts() {
        List<TargetAttempt> unsent =
                mRunningAttempts.stream().filter(attempt -> !attempt.isSent()).toList();
        if (unsent.isEmpty()) {
            return;
        }
        mRunningAttempts.removeAll(unsent);
        if (mRunningAttempts.isEmpty()) {
            releaseDigestLock();
        }
        abort(unsent, FailureKind.CANCELLED_BY_CALLER);
    }

    /** Aborts attempts that are no longer listed as running, since that completes them at once. */
    private void abort(List<TargetAttempt> attempts, FailureKind kind) {
        for (TargetAttempt attempt : attempts) {
            recordAttempt(attempt, "stopped: " + kind);
            attempt.abort(kind);
        }
    }

    private void finish(CallerResponse response, int status, String outcome) {
        mFinished = true;
        abortUnsentAttempts();
        if (!mMayHaveExecuted && mRunningAttempts.isEmpty()) {
            mRequest.identity().customer().ifPresent(mLimits::release);
        }
        if (mHedgeTimer != null) {
            mHedgeTimer.cancel(false);
        }
        if (response != null) {
            response.send(mCall);
        }
        if (mRequest.kind().idempotency().isRepeatable()) {
            abortAttempts(FailureKind.CANCELLED_BY_CALLER);
        } else if (mPendingSlot != null) {
            mPendingSlot.cancel(false);
        }
        if (mRunningAttempts.isEmpty()) {
            mDeadlineTimer.cancel(false);
        }
        mErrorResponse
                .filter(error -> error.response() != response)
                .ifPresent(error -> error.response().discard());
        logRequest(status, outcome);
    }

    private static void discardResponse(AttemptResult result) {
        if (result instanceof AttemptResult.Responded responded) {
            responded.response().discard();
        }
    }

    private void recordAttempt(TargetAttempt attempt, String result) {
        JsonObject entry = new JsonObject();
        entry.put("target", attempt.target().toString())
                .put("instance", attempt.instance().name())
                .put(
                        "bout_chance",
                        Math.round(attempt.failureProbability() * HUNDREDTHS) / HUNDREDTHS)
                .put("sent_after_ms", attempt.startedMillis() - mRequest.arrivalMillis())
                .put("took_ms", mClock.millis() - attempt.startedMillis())
                .put("connecting_ms", connectingMillis(attempt))
                .put("connection", attempt.connection().name().toLowerCase(Locale.ROOT))
                .put("cause", attempt.cause().name().toLowerCase(Locale.ROOT))
                .put("end", result);
        if (!attempt.limit().equals(LimitStatement.UNLIMITED)) {
            entry.put("limit", attempt.limit().toString());
        }
        mAttemptLog.add(entry);
    }

    /** Returns how long an attempt has waited for its connection, in milliseconds. */
    private long connectingMillis(TargetAttempt attempt) {
        boolean written = attempt.writtenMillis() > 0;
        return (written ? attempt.writtenMillis() : mClock.millis()) - attempt.startedMillis();
    }

    private void logRequest(int status, String outcome) {
        long now = mClock.millis();
        mLog.write(
                EventLog.Kind.REQUEST,
                "request",
                line -> {
                    line.put("id", mRequest.id())
                            .put("route", mRequest.route().name())
                            .put("version", mRequest.version())
                            .put("customer", mRequest.customer())
                            .put("kind", mRequest.kind().name())
                            .put("service", mRequest.service())
                            .put("took_ms", now - mRequest.arrivalMillis())
                            .put("left_ms", mRequest.deadlineMillis() - now)
                            .put("status", status)
                            .put("outcome", outcome)
                            .put("connection_age_ms", mCall.receiveTimes().connectionAgeMillis())
                            .put("max_unread_ms", mCall.receiveTimes().maxUnreadMillis())
                            .put("waits_ms", mWaits.toJson(now))
                            .putList("offers", mAttemptLog);
                    if (outcome.equals(CALLER_LEFT)) {
                        line.put("max_unnoticed_ms", mCall.maxUnnoticedMillis());
                    }
                    mDigest.ifPresent(digest -> line.put("digest", digest.hex()));
                });
    }
}
