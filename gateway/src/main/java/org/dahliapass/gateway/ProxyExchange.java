package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Clock;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.dahliapass.decisions.access.Authentication;
import org.dahliapass.decisions.access.CallerIdentity;
import org.dahliapass.decisions.access.RejectionReason;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.gateway.UnexpectedFailures.Step;
import org.dahliapass.http.ServerCall;
import org.dahliapass.http.UsedConnections;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.traffic.RefusedException;
import org.dahliapass.traffic.Slot;

/**
 * Serves one request from its first attempt at a target to its single response.
 *
 * <p>An at-most-once request is sent again only after proof that it was not executed. A repeatable
 * request is also retried after a failure and hedged when an attempt is slow. A response that
 * promises "not executed" is sent only while no attempt may have run. While this VM reaches no
 * target, another VM serves the request. Confined to the traffic thread.
 */
final class ProxyExchange {
    private static final int SERVER_ERROR = 500;

    /** Includes attempts that found no connection and so reached no target. */
    private static final int MAX_ATTEMPTS = 6;

    /** A request that found no connection to so many targets is passed on to another VM. */
    private static final int MAX_CONNECT_FAILURES = 2;

    /**
     * The delay before a hedge that got no slot or budget is retried. Guards against a read that
     * waits for a hung target until its deadline because all other targets were briefly full.
     */
    private static final long HEDGE_RETRY_MILLIS = 100;

    /** The time that a caller may add to a response by reading it slowly. */
    private static final long MAX_PAUSED_MILLIS = 30_000;

    private static final String VM_STOPS = "the VM stops";

    private static final String CALLER_LEFT = "the caller left";

    private static final String UNEXPECTED = "an unexpected exception";

    private final ServerCall mCall;
    private final ProxyRequest mRequest;
    private final ServicePool mPool;
    private final TargetConnections mConnections;
    private final Clock mClock;
    private final EventLoop mLoop;
    private final ExchangeLog mLog;
    private final GatewayResponses mResponses;
    private final ExchangeDigest mDigest;
    private final RequestAuthenticator mAuthenticator;
    private final CustomerLimits mLimits;
    private final WaitLog mWaits;
    private final RelayAttempts mRelay;
    private final RunningAttempts mRunningAttempts;
    private final UnexpectedFailures mFailures;
    private final RequestCharges mCharges;
    private final Set<Endpoint> mTriedTargets = new HashSet<>();
    private final UsedConnections mUsedConnections = new UsedConnections();
    private final Runnable mRelayInsteadOfWaiting = this::relayInsteadOfWaiting;
    private CompletableFuture<Slot> mPendingSlot;

    /** The attempt that owns the latest granted slot. */
    private TargetAttempt mLatestAttempt;

    private ScheduledFuture<?> mDeadlineTimer;
    private ScheduledFuture<?> mHedgeTimer;
    private Optional<AttemptResult.Responded> mErrorResponse = Optional.empty();

    /** The response that was sent, while a part of it has not come from the target. */
    private Optional<CallerResponse> mArriving = Optional.empty();

    private int mTargetsReached;
    private int mAttempts;
    private int mConnectFailures;
    private boolean mIsCounted;
    private boolean mHoldsToken;
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
            RelayAttempts relay,
            WaitLog waits) {
        mCall = call;
        mRequest = request;
        mPool = pool;
        mConnections = connections;
        mClock = clock;
        mLoop = call.loop();
        mLog = new ExchangeLog(call, request, clock, log, waits);
        mRunningAttempts = new RunningAttempts(mLog);
        mFailures = connections.failures();
        mResponses = responses;
        mCharges = new RequestCharges(pool.runtime());
        mDigest = new ExchangeDigest(request, guard);
        mAuthenticator = authenticator;
        mLimits = limits;
        mRelay = relay;
        mWaits = waits;
        mIsCounted = request.isCounted();
        mHoldsToken = request.holdsToken();
    }

    /**
     * Starts the exchange.
     *
     * <p>Guards against sending a queued request to a target after its caller has disconnected: the
     * close of the connection ends the exchange in any state of the response.
     */
    void start() {
        guard(
                Step.START,
                () -> {
                    long remaining = mRequest.remainingMillis(mClock.millis());
                    mDeadlineTimer =
                            mLoop.schedule(
                                    () -> guard(Step.END, this::onDeadline),
                                    remaining,
                                    TimeUnit.MILLISECONDS);
                    mCall.onDisconnect(() -> guard(Step.END, this::onCallerDisconnected));
                    admit();
                });
    }

    /** Runs a step of the request, which ends alone after an unexpected exception. */
    private void guard(Step step, Runnable body) {
        try {
            body.run();
        } catch (RuntimeException | Error failure) {
            failUnexpectedly(step, failure);
        }
    }

    /**
     * Runs a step of one attempt, which ends alone after an unexpected exception: the request goes
     * on while another attempt runs. The failed attempt must not be among the running ones then.
     */
    private void guardAttempt(Step step, Runnable body) {
        try {
            body.run();
        } catch (RuntimeException | Error failure) {
            failAttemptUnexpectedly(step, failure);
        }
    }

    private void failAttemptUnexpectedly(Step step, Throwable failure) {
        if (mFinished || mRunningAttempts.isEmpty()) {
            failUnexpectedly(step, failure);
        } else {
            mFailures.onRequestFailed(step, mRequest.id(), failure);
        }
    }

    /** Records that an attempt, which is not to be waited for any more, may have been executed. */
    private void recordUnknownEnd(Attempt attempt) {
        if (attempt.isSent()) {
            mMayHaveExecuted = true;
            mTargetsReached++;
        }
    }

    /**
     * Ends the request after an unexpected exception and releases all that it holds. Each part runs
     * even if another one throws.
     */
    private void failUnexpectedly(Step step, Throwable failure) {
        mFailures.onRequestFailed(step, mRequest.id(), failure);
        boolean wasFinished = mFinished;
        mFinished = true;
        boolean mayHaveReached = mMayHaveExecuted || mRunningAttempts.hasSent();
        mFailures.runAtEnd(mRequest.id(), () -> mRelay.removeWaiter(mRelayInsteadOfWaiting));
        mFailures.runAtEnd(mRequest.id(), this::cancelPendingSlot);
        mFailures.runAtEnd(
                mRequest.id(), () -> mRunningAttempts.abort(FailureKind.CANCELLED_BY_CALLER));
        mFailures.runAtEnd(mRequest.id(), mDigest::unlock);
        mFailures.runAtEnd(mRequest.id(), mCharges::release);
        if (!mayHaveReached) {
            mFailures.runAtEnd(mRequest.id(), this::releaseToken);
        }
        cancelTimers();
        mFailures.runAtEnd(
                mRequest.id(), () -> mErrorResponse.ifPresent(error -> error.response().discard()));
        mErrorResponse = Optional.empty();
        int status = mayHaveReached ? GatewayResponses.BAD_GATEWAY : GatewayResponses.UNAVAILABLE;
        mFailures.runAtEnd(mRequest.id(), () -> respondUnexpectedly(mayHaveReached));
        if (!wasFinished) {
            mFailures.runAtEnd(
                    mRequest.id(), () -> mLog.write(status, UNEXPECTED, false, mDigest.known()));
        }
    }

    private void respondUnexpectedly(boolean mayHaveReached) {
        if (mCall.isResponseStarted()) {
            return;
        }
        if (mayHaveReached) {
            mResponses.failed().send(mCall);
            return;
        }
        long remaining = mRequest.remainingMillis(mClock.millis());
        mResponses.refused(mResponses.retryAfterMillis(remaining)).send(mCall);
    }

    private void cancelTimers() {
        if (mHedgeTimer != null) {
            mHedgeTimer.cancel(false);
        }
        if (mDeadlineTimer != null) {
            mDeadlineTimer.cancel(false);
        }
    }

    /** Returns the token of the customer's rate limit, if this VM holds one. */
    private void releaseToken() {
        if (mHoldsToken) {
            mHoldsToken = false;
            mRequest.identity().customer().ifPresent(mLimits::release);
        }
    }

    /**
     * Requests a slot or passes the request on, unless it is suspected and has to wait or is
     * rejected.
     */
    private void admit() {
        if (mFinished || isDeferredOrRejected()) {
            return;
        }
        if (mRelay.isNeeded() && relay()) {
            return;
        }
        if (mRelay.isOnlyPassedOn()) {
            refuse("this VM is busy, and no other was available");
            return;
        }
        acquireSlot();
    }

    private void acquireSlot() {
        OptionalLong wait = takeToken();
        if (wait.isPresent()) {
            finish(
                    mResponses.rateLimited(wait.getAsLong()),
                    GatewayResponses.TOO_MANY_REQUESTS,
                    "the customer's rate limit is used up");
            return;
        }
        boolean isFirst = !mIsCounted;
        mIsCounted = true;
        awaitSlot(
                () ->
                        isFirst
                                ? mPool.runtime().acquire(mRequest, Set.of())
                                : mPool.runtime().reacquire(mRequest, Set.of()));
    }

    /** Takes a token of the customer's rate limit; returns the time until there is one. */
    private OptionalLong takeToken() {
        if (mHoldsToken || !mRequest.needsToken()) {
            return OptionalLong.empty();
        }
        OptionalLong wait = mLimits.tryAcquire(mRequest.identity().customer().orElseThrow());
        mHoldsToken = wait.isEmpty();
        return wait;
    }

    /**
     * Passes the request on to another VM, unless that could execute it twice.
     *
     * @return false if no VM is available
     */
    private boolean relay() {
        boolean mayHaveRun = mMayHaveExecuted || mRunningAttempts.sentCount() > 0;
        if (mayHaveRun && !mRequest.kind().idempotency().isRepeatable()) {
            return false;
        }
        Optional<RelayAttempt> attempt =
                mRelay.next(
                        mRequest.maxTargets() - targetsUsed(),
                        mIsCounted,
                        mHoldsToken,
                        nextCause(),
                        mCharges);
        attempt.ifPresent(this::start);
        return attempt.isPresent();
    }

    /** Passes the request on rather than waiting for a slot, once this VM reaches no target. */
    private void relayInsteadOfWaiting() {
        guard(
                Step.SEND,
                () -> {
                    if (mPendingSlot != null && relay()) {
                        mPendingSlot.cancel(false);
                    }
                });
    }

    private void start(RelayAttempt attempt) {
        mAttempts++;
        mRunningAttempts.add(attempt);
        CompletableFuture<AttemptResult> sent;
        try {
            sent = attempt.send();
        } catch (RuntimeException | Error failure) {
            // It never completes, so nothing may wait for it.
            boolean unused = mRunningAttempts.remove(attempt);
            recordUnknownEnd(attempt);
            mFailures.runAtEnd(mRequest.id(), () -> attempt.abort(FailureKind.CANCELLED_BY_CALLER));
            throw failure;
        }
        Futures.whenDone(
                sent,
                (result, failure) ->
                        guardResult(
                                attempt, result, () -> onRelayResult(attempt, result, failure)));
    }

    /** Handles the result of an attempt; a response is discarded after an unexpected exception. */
    private void guardResult(Attempt attempt, AttemptResult result, Runnable body) {
        guardAttempt(
                Step.RESPOND,
                () -> {
                    try {
                        body.run();
                    } catch (RuntimeException | Error failure) {
                        mFailures.runAtEnd(mRequest.id(), () -> discardResponse(result));
                        mErrorResponse = mErrorResponse.filter(error -> error != result);
                        recordUnknownEnd(attempt);
                        throw failure;
                    }
                });
    }

    private int targetsUsed() {
        return mTargetsReached + mRunningAttempts.sentCount();
    }

    private void onRelayResult(RelayAttempt attempt, AttemptResult result, Throwable failure) {
        if (!mRunningAttempts.remove(attempt)) {
            discardResponse(result);
            return;
        }
        // The other VM has counted it, whatever it answers.
        mIsCounted |= attempt.isSent();
        if (!(result instanceof AttemptResult.Refused)) {
            attempt.onEnded(true);
        }
        if (failure != null) {
            mLog.add(attempt, "failed: " + failure);
            recordUnknownEnd(attempt);
            failAttemptUnexpectedly(Step.RESPOND, failure);
        } else if (result instanceof AttemptResult.Responded responded) {
            mLog.add(attempt, "answered " + responded.status());
            onRelayedResponse(responded);
        } else if (result instanceof AttemptResult.Refused refused) {
            mLog.add(attempt, "refused " + refused.status());
            onRelayRefused(attempt, refused);
        } else if (result instanceof AttemptResult.Failed failed) {
            mLog.add(attempt, failed.kind() + ": " + failed.cause());
            onRelayFailed(attempt, failed);
        } else {
            // The close of the caller's connection or the deadline ends the exchange.
            mLog.add(attempt, "not sent: the caller left or its time is over");
        }
    }

    /** Forwards the response that another VM got, which has retried the request if it may. */
    private void onRelayedResponse(AttemptResult.Responded responded) {
        mMayHaveExecuted = true;
        mTargetsReached++;
        if (mFinished) {
            responded.response().discard();
        } else if (responded.status() < SERVER_ERROR) {
            finish(responded.response(), responded.status(), "answered");
        } else {
            setErrorResponse(responded);
            finishIfIdle();
        }
    }

    private void onRelayRefused(RelayAttempt attempt, AttemptResult.Refused refused) {
        boolean mayHaveReached = refused.hasReachedTarget() || !refused.isVmUnavailable();
        attempt.onEnded(mayHaveReached);
        mRelay.onRefused(attempt, refused);
        if (mFinished || !mRunningAttempts.isEmpty()) {
            return;
        }
        if (refused.isVmUnavailable()
                && (!mayHaveReached || tryTakeRetry(FailureKind.REFUSED_NOT_PROCESSED))
                && relay()) {
            return;
        }
        if (mMayHaveExecuted || refused.retryAfterMillis() == 0) {
            finishIfIdle();
        } else if (refused.status() == GatewayResponses.TOO_MANY_REQUESTS) {
            finish(
                    mResponses.limited(refused.retryAfterMillis()),
                    refused.status(),
                    "the customer's rate limit is used up");
        } else {
            finish(
                    mResponses.refused(refused.retryAfterMillis()),
                    GatewayResponses.UNAVAILABLE,
                    "refused by the VM that was to serve it");
        }
    }

    /** Takes a retry from the budget for a request that is passed on. */
    private boolean tryTakeRetry(FailureKind kind) {
        return mPool.runtime().tryTakeRetry(failedAttempt(kind), mCharges);
    }

    private boolean mayRelayAfter(AttemptResult.Failed failed) {
        return failed.kind() == FailureKind.CONNECT_FAILED
                || (mRunningAttempts.isEmpty()
                        && !mRelay.isOnlyPassedOn()
                        && tryTakeRetry(failed.kind()));
    }

    private void onRelayFailed(RelayAttempt attempt, AttemptResult.Failed failed) {
        boolean hasReachedVm = failed.kind() != FailureKind.CONNECT_FAILED;
        mMayHaveExecuted |= hasReachedVm;
        if (!hasReachedVm) {
            mRelay.onUnavailable(attempt);
        }
        if (mFinished || (mayRelayAfter(failed) && relay())) {
            return;
        }
        if (failed.kind() == FailureKind.TIMED_OUT && mRunningAttempts.isEmpty()) {
            onDeadline();
            return;
        }
        finishIfIdle();
    }

    /**
     * Returns whether the request is deferred or rejected, because targets crashed while they ran
     * requests with the same digest.
     */
    private boolean isDeferredOrRejected() {
        if (!mDigest.treatment().mayRun()) {
            rejectQuarantined();
            return true;
        }
        if (!mDigest.isLocked()) {
            return false;
        }
        if (mAttempts > 0 || !mDigest.addWaiter(() -> guard(Step.START, this::admit))) {
            finishIfIdle();
        } else {
            mWaits.start(WaitLog.Cause.DIGEST, mClock.millis());
        }
        return true;
    }

    private void rejectQuarantined() {
        long retryAfter = mDigest.onRefused();
        if (mMayHaveExecuted || !mRunningAttempts.isEmpty()) {
            finishIfIdle();
            return;
        }
        finish(
                mResponses.quarantined(retryAfter),
                GatewayResponses.UNAVAILABLE,
                "targets ended under requests like it");
    }

    private void awaitSlot(Supplier<CompletableFuture<Slot>> acquire) {
        mWaits.start(WaitLog.Cause.SLOT, mClock.millis());
        mRelay.addWaiter(mRelayInsteadOfWaiting);
        CompletableFuture<Slot> slot = acquire.get();
        mPendingSlot = slot;
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

    /** Awaits the slot of a request that is queued already. */
    private void awaitQueued(CompletableFuture<Slot> slot) {
        mPendingSlot = slot;
        awaitSlot(() -> slot);
    }

    /** Uses a slot, which an unexpected exception releases. */
    private void onSlot(Slot slot, Throwable failure) {
        mPendingSlot = null;
        mLatestAttempt = null;
        guardAttempt(
                Step.SEND,
                () -> {
                    try {
                        useSlot(slot, failure);
                    } catch (RuntimeException | Error exception) {
                        mFailures.runAtEnd(mRequest.id(), () -> releaseUnused(slot));
                        throw exception;
                    }
                });
    }

    private void releaseUnused(Slot slot) {
        if (mLatestAttempt != null) {
            if (mRunningAttempts.remove(mLatestAttempt)) {
                recordUnknownEnd(mLatestAttempt);
            }
            mLatestAttempt.abort(FailureKind.CANCELLED_BY_CALLER);
        } else if (slot != null) {
            mPool.runtime().release(slot, Outcome.CANCELLED, 0);
        }
    }

    private void useSlot(Slot slot, Throwable failure) {
        mRelay.removeWaiter(mRelayInsteadOfWaiting);
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
                        mCall::isClientConnected,
                        mCharges,
                        mUsedConnections);
        mLatestAttempt = attempt;
        if (mFinished || mRunningAttempts.isRelaying() || (mRelay.isNeeded() && relay())) {
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
        mDigest.lockIfAlone();
        mAttempts++;
        mTriedTargets.add(attempt.target());
        mRunningAttempts.add(attempt);
        Futures.whenDone(
                attempt.send(identity),
                (result, failure) ->
                        guardResult(attempt, result, () -> onResult(attempt, result, failure)));
    }

    private void scheduleHedge() {
        OptionalLong delay = mPool.runtime().hedgeDelayMillis(mRequest.kind());
        if (delay.isPresent() && mHedgeTimer == null) {
            scheduleHedge(delay.getAsLong());
        }
    }

    private void scheduleHedge(long delayMillis) {
        mHedgeTimer =
                mLoop.schedule(
                        () -> guardAttempt(Step.SEND, this::startHedge),
                        delayMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void onResult(TargetAttempt attempt, AttemptResult result, Throwable failure) {
        if (!mRunningAttempts.remove(attempt)) {
            // The attempt was aborted and is recorded already.
            discardResponse(result);
            return;
        }
        mDigest.onEnded(attempt, result);
        if (failure != null) {
            mLog.add(attempt, "failed: " + failure);
            recordUnknownEnd(attempt);
            failAttemptUnexpectedly(attempt.isSent() ? Step.RESPOND : Step.SEND, failure);
        } else if (result instanceof AttemptResult.Responded responded) {
            mLog.add(attempt, "answered " + responded.status());
            onResponse(responded);
        } else if (result instanceof AttemptResult.Failed failed) {
            mLog.add(attempt, failed.kind() + ": " + failed.cause());
            onFailed(failed);
        } else if (result instanceof AttemptResult.Withdrawn) {
            mLog.add(attempt, "not sent: the target is leaving or wants a rest");
            onWithdrawn();
        } else if (result instanceof AttemptResult.Replaced replaced) {
            mLog.add(attempt, "not executed: another instance has replaced the target");
            onReplaced(replaced);
        } else {
            // The close of the caller's connection or the deadline ends the exchange.
            mLog.add(attempt, "not sent: the caller left or its time is over");
        }
    }

    private void onResponse(AttemptResult.Responded responded) {
        mMayHaveExecuted = true;
        mTargetsReached++;
        if (responded.isComplete()) {
            mDigest.onResponse();
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
        setErrorResponse(responded);
        if (!mRunningAttempts.isEmpty() || retry(responded.target(), FailureKind.SERVER_ERROR)) {
            return;
        }
        finishIfIdle();
    }

    private void setErrorResponse(AttemptResult.Responded responded) {
        mErrorResponse.ifPresent(previous -> previous.response().discard());
        mErrorResponse = Optional.of(responded);
    }

    private void onFailed(AttemptResult.Failed failed) {
        boolean hasReachedTarget = failed.kind() != FailureKind.CONNECT_FAILED;
        mMayHaveExecuted |= failed.kind().mayHaveRun() && hasReachedTarget;
        if (hasReachedTarget) {
            mTargetsReached++;
        }
        if (mFinished) {
            return;
        }
        if (!hasReachedTarget) {
            mConnectFailures++;
            if (mRelay.isNeeded() && relay()) {
                return;
            }
        }
        if (!mRunningAttempts.isEmpty()) {
            return;
        }
        if (!hasReachedTarget
                && mAttempts < MAX_ATTEMPTS
                && mRequest.remainingMillis(mClock.millis()) > 0) {
            tryElsewhere();
            return;
        }
        if (retry(failed.target(), failed.kind())) {
            return;
        }
        finishIfIdle();
    }

    /** Queues the request again, since its attempt reached no target. */
    private void onWithdrawn() {
        if (mFinished || !mRunningAttempts.isEmpty()) {
            return;
        }
        if (mAttempts < MAX_ATTEMPTS) {
            awaitSlot(() -> mPool.runtime().reacquire(mRequest, Set.copyOf(mTriedTargets)));
        } else {
            finishIfIdle();
        }
    }

    /**
     * Queues the request again, since nothing ran. The attempt doesn't count against the maximum
     * number of targets; the budget bounds what further arrivals add.
     */
    private void onReplaced(AttemptResult.Replaced replaced) {
        mTriedTargets.add(replaced.target());
        if (mFinished || !mRunningAttempts.isEmpty()) {
            return;
        }
        Optional<CompletableFuture<Slot>> queued =
                mAttempts < MAX_ATTEMPTS
                        ? mPool.runtime()
                                .requeueAfterReplaced(
                                        mRequest,
                                        failedAttempt(FailureKind.REFUSED_NOT_PROCESSED),
                                        mCharges)
                        : Optional.empty();
        queued.ifPresentOrElse(this::awaitQueued, this::finishIfIdle);
    }

    /** Tries another VM or target after an attempt that sent nothing. */
    private void tryElsewhere() {
        if (mConnectFailures < MAX_CONNECT_FAILURES) {
            awaitSlot(() -> mPool.runtime().reacquire(mRequest, Set.copyOf(mTriedTargets)));
            return;
        }
        if (relay()) {
            return;
        }
        if (mRelay.isNeeded()) {
            finishIfIdle();
            return;
        }
        awaitSlot(() -> mPool.runtime().reacquire(mRequest, Set.copyOf(mTriedTargets)));
    }

    private boolean retry(Endpoint target, FailureKind kind) {
        mTriedTargets.add(target);
        if (mTargetsReached >= mRequest.maxTargets() || mAttempts >= MAX_ATTEMPTS) {
            return false;
        }
        if (kind.brokeConnection() && !mDigest.treatment().mayRunAgain()) {
            return false;
        }
        if (mRelay.isNeeded()) {
            return tryTakeRetry(kind) && relay();
        }
        FailedAttempt failed = failedAttempt(kind);
        Optional<Slot> slot = mPool.runtime().retry(mRequest, failed, mCharges);
        if (slot.isPresent()) {
            onSlot(slot.get(), null);
            return true;
        }
        Optional<CompletableFuture<Slot>> queued =
                mPool.runtime().requeue(mRequest, failed, mCharges);
        queued.ifPresent(this::awaitQueued);
        return queued.isPresent();
    }

    private FailedAttempt failedAttempt(FailureKind kind) {
        return new FailedAttempt(
                mRequest.kind(),
                kind,
                mMayHaveExecuted,
                Set.copyOf(mTriedTargets),
                mTargetsReached,
                mRequest.deadlineMillis());
    }

    private void startHedge() {
        if (mFinished) {
            return;
        }
        boolean isIdle =
                mRunningAttempts.count() != 1
                        || mPendingSlot != null
                        || mRunningAttempts.isRelaying();
        if (!isIdle && !tryHedge()) {
            return;
        }
        // A hedge that its target did not execute may be replaced by another one.
        if ((isIdle || mRunningAttempts.count() > 1) && !mPool.runtime().policy().hedgesByAge()) {
            return;
        }
        if (!mFinished && mRequest.remainingMillis(mClock.millis()) > HEDGE_RETRY_MILLIS) {
            scheduleHedge(HEDGE_RETRY_MILLIS);
        }
    }

    /**
     * Sends a hedge if there is a slot and budget for one.
     *
     * @return whether the request may be hedged later
     */
    private boolean tryHedge() {
        if (mTargetsReached + 1 >= mRequest.maxTargets() || !mDigest.treatment().mayRunAgain()) {
            return false;
        }
        if (mRelay.isNeeded()) {
            if (tryTakeRetry(FailureKind.TIMED_OUT)) {
                relay();
            }
            return false;
        }
        Optional<Slot> slot = hedge();
        if (slot.isPresent()) {
            onSlot(slot.get(), null);
        } else if (isAttemptLost()) {
            replaceAttempt();
        }
        return true;
    }

    private boolean isAttemptLost() {
        return mRunningAttempts
                .atTarget()
                .map(
                        running ->
                                mPool.runtime()
                                        .tryReplaceLost(
                                                mRequest,
                                                running.slot(),
                                                mTargetsReached + 1,
                                                mCharges))
                .orElse(false);
    }

    /** Aborts the only attempt, which frees its slot, and queues the request again. */
    private void replaceAttempt() {
        mMayHaveExecuted = true;
        mTargetsReached++;
        // An attempt that could not be aborted must not be waited for.
        guard(
                Step.SEND,
                () -> {
                    mDigest.unlock();
                    mRunningAttempts.abort(FailureKind.TIMED_OUT);
                    awaitSlot(() -> mPool.runtime().reacquire(mRequest, Set.copyOf(mTriedTargets)));
                });
    }

    private Optional<Slot> hedge() {
        return mRunningAttempts
                .atTarget()
                .flatMap(
                        running ->
                                mPool.runtime()
                                        .hedge(
                                                mRequest,
                                                running.slot(),
                                                Set.copyOf(mTriedTargets),
                                                mTargetsReached + 1,
                                                mCharges));
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
        if (mRequest.isRelayed() && mRelay.isNeeded()) {
            finish(
                    mResponses.relayUnavailable(mCharges.hasWritten()),
                    GatewayResponses.UNAVAILABLE,
                    outcome);
            return;
        }
        long retryAfter =
                Math.max(
                        mResponses.retryAfterMillis(mRequest.remainingMillis(mClock.millis())),
                        mPool.runtime().retryAfterRestMillis(mRequest.kind()));
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
            endArriving();
            return;
        }
        end(FailureKind.TIMED_OUT, "the time is over");
    }

    /** Refuses a request that was not sent, since the VM stops before a target could serve it. */
    void refuseUnsent() {
        guard(
                Step.END,
                () -> {
                    boolean isSent = mMayHaveExecuted || mRunningAttempts.sentCount() > 0;
                    if (!mFinished && !isSent) {
                        refuse(VM_STOPS);
                    }
                });
    }

    /** Responds before the VM stops, whatever its targets are doing. */
    void endBeforeStop() {
        guard(
                Step.END,
                () -> {
                    if (!mFinished) {
                        end(FailureKind.CANCELLED_BY_CALLER, VM_STOPS);
                    }
                });
    }

    /**
     * Ends the exchange without a response of a target.
     *
     * @param kind what the attempts are recorded as
     */
    private void end(FailureKind kind, String cause) {
        mMayHaveExecuted |= mRunningAttempts.sentCount() > 0;
        // Set first: aborting an attempt completes it at once, which must not start another one.
        mFinished = true;
        abortAttempts(kind);
        if (mErrorResponse.isPresent()) {
            finish(
                    mErrorResponse.get().response(),
                    mErrorResponse.get().status(),
                    "the target's own failure");
        } else if (mMayHaveExecuted) {
            finish(mResponses.timedOut(), GatewayResponses.TIMEOUT, cause);
        } else {
            finish(
                    mResponses.refused(0),
                    GatewayResponses.UNAVAILABLE,
                    "it could not be sent in time");
        }
    }

    /**
     * Ends a response that is forwarded as it arrives, and that its target didn't complete in time.
     * The time in which the caller didn't read doesn't count, up to a limit.
     */
    private void endArriving() {
        Optional<CallerResponse> late = mArriving.filter(CallerResponse::isArriving);
        if (late.isEmpty()) {
            return;
        }
        long pausedMillis = Math.min(late.get().pausedMillis(), MAX_PAUSED_MILLIS);
        long leftMillis = mRequest.deadlineMillis() + pausedMillis - mClock.millis();
        if (leftMillis > 0) {
            mDeadlineTimer =
                    mLoop.schedule(
                            () -> guard(Step.END, this::endArriving),
                            leftMillis,
                            TimeUnit.MILLISECONDS);
            return;
        }
        mArriving = Optional.empty();
        late.get().endLate();
        mLog.writeCut();
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

    private void cancelPendingSlot() {
        if (mPendingSlot != null) {
            mPendingSlot.cancel(false);
        }
    }

    private void abortAttempts(FailureKind kind) {
        cancelPendingSlot();
        mDigest.unlock();
        mRunningAttempts.abort(kind);
    }

    private void cancelAttempts(Predicate<Attempt> condition) {
        if (mRunningAttempts.cancel(condition) && mRunningAttempts.isEmpty()) {
            mDigest.unlock();
        }
    }

    private void finish(CallerResponse response, int status, String outcome) {
        mFinished = true;
        cancelAttempts(attempt -> !attempt.isSent());
        if (!mMayHaveExecuted && mRunningAttempts.isEmpty()) {
            releaseToken();
        }
        if (mHedgeTimer != null) {
            mHedgeTimer.cancel(false);
        }
        if (response != null) {
            send(response);
        }
        cancelPendingSlot();
        cancelAttempts(Attempt::endsWithCaller);
        mCharges.release();
        mArriving = Optional.ofNullable(response).filter(CallerResponse::isArriving);
        if (mRunningAttempts.isEmpty() && mArriving.isEmpty()) {
            mDeadlineTimer.cancel(false);
        }
        mErrorResponse
                .filter(error -> error.response() != response)
                .ifPresent(error -> error.response().discard());
        mLog.write(status, outcome, outcome.equals(CALLER_LEFT), mDigest.known());
    }

    /** Sends a response; one that can't be sent whole doesn't appear complete to the caller. */
    private void send(CallerResponse response) {
        try {
            response.send(mCall);
        } catch (RuntimeException | Error failure) {
            mFailures.runAtEnd(mRequest.id(), response::discard);
            if (mCall.isResponseStarted()) {
                mFailures.runAtEnd(mRequest.id(), mCall::abort);
            }
            throw failure;
        }
    }

    private static void discardResponse(AttemptResult result) {
        if (result instanceof AttemptResult.Responded responded) {
            responded.response().discard();
        }
    }
}
