package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Clock;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.dahliapass.decisions.acceptance.LoadStatement;
import org.dahliapass.decisions.access.CallerIdentity;
import org.dahliapass.decisions.availability.AvailabilityRecord;
import org.dahliapass.decisions.availability.AvailabilityStatement;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.limits.LimitStatement;
import org.dahliapass.decisions.reachability.ConnectionUse;
import org.dahliapass.decisions.reachability.ContactFailure;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.http.ClientCall;
import org.dahliapass.http.NotSentException;
import org.dahliapass.http.ResponseListener;
import org.dahliapass.http.UsedConnections;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.TargetInstance;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.platform.TargetHeaders;
import org.dahliapass.traffic.Slot;

/**
 * One attempt to send a request to one target: sends it, validates the response and buffers it.
 *
 * <p>A response is delivered only when it is complete, so that a repeatable request can be retried
 * after a truncated one. A response that exceeds the buffer limit is streamed instead. Confined to
 * the traffic thread. Each attempt releases its slot exactly once.
 */
final class TargetAttempt implements Attempt, ResponseListener {
    private static final int CLIENT_ERROR = 400;

    private static final int SERVER_ERROR = 500;

    private static final double HUNDREDTHS = 100.0;

    private final AttemptCause mCause;
    private final double mFailureProbability;
    private final ProxyRequest mRequest;
    private final Slot mSlot;
    private final ServicePool mPool;
    private final TargetConnections mConnections;
    private final Clock mClock;
    private final BooleanSupplier mIsCallerConnected;
    private final RequestCharges mCharges;
    private final UsedConnections mUsedConnections;
    private final CompletableFuture<AttemptResult> mResult = new CompletableFuture<>();
    private ClientCall mCall;
    private ResponseCollector mCollector;
    private long mStartedMillis;
    private long mWrittenMillis;
    private long mHeadMillis;
    private boolean mHeadReceived;
    private ConnectionUse mConnection = ConnectionUse.NEW;
    private ArrivalCharge mCharge = ArrivalCharge.UNSENT;
    private LimitStatement mLimit = LimitStatement.UNLIMITED;
    private AvailabilityRecord mKnown = AvailabilityRecord.NONE;
    private AvailabilityStatement mAvailability = AvailabilityStatement.NONE;
    private boolean mReleased;
    private boolean mDropped;
    private boolean mWithdrawn;

    /**
     * Creates an attempt.
     *
     * @param usedConnections the connections that earlier attempts of the request have used
     */
    TargetAttempt(
            ProxyRequest request,
            Slot slot,
            ServicePool pool,
            TargetConnections connections,
            Clock clock,
            AttemptCause cause,
            BooleanSupplier isCallerConnected,
            RequestCharges charges,
            UsedConnections usedConnections) {
        mCause = cause;
        mCharges = charges;
        mUsedConnections = usedConnections;
        mIsCallerConnected = isCallerConnected;
        mRequest = request;
        mSlot = slot;
        mPool = pool;
        mFailureProbability = pool.runtime().failingProbability(slot.target());
        mConnections = connections;
        mClock = clock;
    }

    /**
     * Sends the request for a caller. The future completes when the response is complete or the
     * attempt has failed.
     */
    CompletableFuture<AttemptResult> send(CallerIdentity identity) {
        mStartedMillis = mClock.millis();
        mCall =
                mConnections
                        .client()
                        .send(
                                target(),
                                mRequest.method(),
                                mRequest.path(),
                                TargetRequestHead.of(
                                        mRequest.headers(),
                                        identity,
                                        instance(),
                                        mRequest.remainingMillis(mStartedMillis)),
                                mRequest.body(),
                                mUsedConnections,
                                this);
        return mResult;
    }

    Endpoint target() {
        return mSlot.target();
    }

    /** Returns the slot that the attempt holds until it has ended. */
    Slot slot() {
        return mSlot;
    }

    /** Returns the target instance; the request names it so that no other instance executes it. */
    TargetInstance instance() {
        return mSlot.instance();
    }

    /** Returns whether the target is shutting down, by its registration or its responses. */
    boolean isTargetLeaving() {
        return mPool.runtime().isLeaving(mSlot)
                || mPool.registrationAt(target()).map(TargetRegistration::draining).orElse(false);
    }

    /** Returns when the attempt began to look for a connection, in milliseconds. */
    long startedMillis() {
        return mStartedMillis;
    }

    @Override
    public void abort(FailureKind kind) {
        try {
            if (kind == FailureKind.TIMED_OUT && !mReleased && !mHeadReceived) {
                recordNoResponse(ContactFailure.SILENT);
            }
        } finally {
            releaseAndClose(kind);
        }
    }

    private void releaseAndClose(FailureKind kind) {
        try {
            release(kind);
        } finally {
            if (mCollector != null) {
                mCollector.discard();
            }
            if (mCall != null) {
                mCall.abort();
            }
        }
    }

    @Override
    public boolean isSent() {
        return mWrittenMillis > 0;
    }

    /** An at-most-once request runs on, because aborting it leaves its effect unknown. */
    @Override
    public boolean endsWithCaller() {
        return mRequest.kind().idempotency().isRepeatable();
    }

    @Override
    public JsonObject describe(String end) {
        long now = mClock.millis();
        JsonObject entry = new JsonObject();
        entry.put("target", target().toString())
                .put("instance", instance().name())
                .put("bout_chance", Math.round(mFailureProbability * HUNDREDTHS) / HUNDREDTHS)
                .put("sent_after_ms", mStartedMillis - mRequest.arrivalMillis())
                .put("took_ms", now - mStartedMillis)
                .put("connecting_ms", (isSent() ? mWrittenMillis : now) - mStartedMillis)
                .put("connection", mConnection.name().toLowerCase(Locale.ROOT))
                .put("cause", mCause.name().toLowerCase(Locale.ROOT))
                .put("end", end);
        if (!mLimit.equals(LimitStatement.UNLIMITED)) {
            entry.put("limit", mLimit.toString());
        }
        describeAvailability(entry);
        mCharge.describe(entry);
        return entry;
    }

    /** Adds what was known of the target when the request was written, and what it answered. */
    private void describeAvailability(JsonObject entry) {
        mKnown.leavingSinceMillis()
                .ifPresent(since -> entry.put("leaving_known_ms", mWrittenMillis - since));
        if (mKnown.restMillis(mWrittenMillis) > 0) {
            entry.put("rest_left_ms", mKnown.restMillis(mWrittenMillis));
        }
        if (mAvailability.isLeaving()) {
            entry.put("leaving", true);
        }
        mAvailability.restMillis().ifPresent(millis -> entry.put("rest_ms", millis));
        if (!mAvailability.malformed().isEmpty()) {
            entry.putList("malformed", mAvailability.malformed());
        }
    }

    /**
     * Drops the request if its caller has disconnected or its time is over, and withdraws it if the
     * target has said meanwhile that it takes no requests.
     *
     * <p>Guards against sending a request whose caller disconnected while the request waited in a
     * socket buffer, for a slot or for its connection, and the event loop was busy.
     */
    @Override
    public boolean onConnected(HttpHeaders headers, boolean reused) {
        try {
            return prepareToWrite(headers, reused);
        } catch (RuntimeException | Error failure) {
            // Nothing is written if this method returns false.
            mWrittenMillis = 0;
            mDropped = true;
            endUnexpectedly(failure);
            return false;
        }
    }

    /** Runs a step of the response, which ends the attempt after an unexpected exception. */
    private void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error failure) {
            endUnexpectedly(failure);
        }
    }

    /** Releases all that the attempt holds and fails its request after an unexpected exception. */
    private void endUnexpectedly(Throwable failure) {
        UnexpectedFailures failures = mConnections.failures();
        failures.runAtEnd(mRequest.id(), () -> abort(FailureKind.CANCELLED_BY_CALLER));
        if (mCollector != null && mCollector.isStreaming()) {
            failures.runAtEnd(mRequest.id(), mCollector::abort);
        }
        if (!mResult.completeExceptionally(failure)) {
            failures.onRequestFailed(UnexpectedFailures.Step.RESPOND, mRequest.id(), failure);
        }
    }

    private boolean prepareToWrite(HttpHeaders headers, boolean reused) {
        long now = mClock.millis();
        mConnection = reused ? ConnectionUse.OPEN : ConnectionUse.NEW;
        if (!reused) {
            mConnections.reachability().onConnected(target());
        }
        long remaining = mRequest.remainingMillis(now);
        if (remaining == 0 || !mIsCallerConnected.getAsBoolean()) {
            mDropped = true;
            return false;
        }
        if (!mPool.runtime().mayWrite(mSlot)) {
            mWithdrawn = true;
            return false;
        }
        headers.set(TargetHeaders.REMAINING_MILLIS, Long.toString(remaining));
        mWrittenMillis = now;
        mCharge = mCharges.onWritten();
        mKnown = mPool.runtime().onWritten(mSlot);
        mConnections.reachability().onSent(this, target());
        return true;
    }

    @Override
    public void onHead(HttpResponse head) {
        guard(() -> receiveHead(head));
    }

    private void receiveHead(HttpResponse head) {
        mHeadReceived = true;
        mHeadMillis = mClock.millis();
        mConnections.reachability().onResponse(this, target());
        int status = head.status().code();
        ResponseCheck check = ResponseCheck.of(status, head.headers(), mRequest.id());
        if (check.isFromExpectedTarget(status)) {
            mLimit = LimitStatement.parse(TargetHeaders.requestLimits(head.headers()));
            // Only a success proves that a limit is lifted.
            if (!mLimit.equals(LimitStatement.UNLIMITED) || status < CLIENT_ERROR) {
                mPool.runtime().onLimitStatement(mSlot, mLimit);
            }
            mAvailability =
                    AvailabilityStatement.parse(
                            TargetHeaders.leaving(head.headers()),
                            status,
                            head.headers().getAll(HttpHeaderNames.RETRY_AFTER));
            mPool.runtime().onAvailabilityStatement(mSlot, mAvailability);
            Optional<LoadStatement> load = LoadStatement.parse(TargetHeaders.load(head.headers()));
            load.ifPresent(statement -> mPool.runtime().onLoadStatement(mSlot, statement));
            if (check == ResponseCheck.NOT_EXECUTED) {
                mPool.runtime().onRejected(mSlot, load);
            }
        }
        // Reserved for responses of VMs.
        head.headers().remove(RelayHeader.NAME);
        if (mRequest.isRelayed() && mAvailability.isLeaving()) {
            RelayHeader.setLeaving(head.headers(), instance().incarnation());
        }
        if (check == ResponseCheck.VALID) {
            mCollector =
                    new ResponseCollector(
                            head, mCall::setAutoRead, this::abort, mConnections.memory());
            return;
        }
        if (check.isFromOtherInstance(status) && mPool.runtime().tracksReplacedTargets()) {
            mPool.runtime().onReplaced(mSlot);
            release(check.failureKind());
            mCall.discardRest();
            mResult.complete(new AttemptResult.Replaced(target()));
            return;
        }
        if (check == ResponseCheck.NOT_EXECUTED) {
            mCall.discardRest();
        } else {
            // Guards against further bytes of unknown origin on a connection that serves the next
            // request.
            mCall.abort();
        }
        fail(check.failureKind(), check.cause() + " (status " + status + ")");
    }

    @Override
    public void onData(ByteBuf chunk) {
        if (mCollector != null) {
            guard(() -> receiveData(chunk));
        }
    }

    private void receiveData(ByteBuf chunk) {
        mCollector.add(chunk).ifPresent(this::complete);
        if (mCollector.isTooLarge()) {
            fail(FailureKind.CUT_SHORT, "the response is larger than one response may be");
            mCall.abort();
        }
    }

    @Override
    public void onEnd(HttpHeaders trailers) {
        guard(() -> receiveEnd(trailers));
    }

    private void receiveEnd(HttpHeaders trailers) {
        if (mCollector == null) {
            return;
        }
        release(mCollector.status() >= SERVER_ERROR ? FailureKind.SERVER_ERROR : null);
        mCollector.end(trailers).ifPresent(this::complete);
    }

    private void complete(CallerResponse response) {
        mResult.complete(new AttemptResult.Responded(target(), mCollector.status(), response));
    }

    @Override
    public void onFailure(Throwable failure) {
        guard(() -> endWithFailure(failure));
    }

    private void endWithFailure(Throwable failure) {
        if (mDropped) {
            release(FailureKind.CANCELLED_BY_CALLER);
            mResult.complete(new AttemptResult.Dropped(target()));
            return;
        }
        if (mWithdrawn) {
            release(FailureKind.CANCELLED_BY_CALLER);
            mResult.complete(new AttemptResult.Withdrawn(target()));
            return;
        }
        FailureKind kind = classify(failure);
        if (!mHeadReceived) {
            recordNoResponse(
                    kind == FailureKind.CONNECT_FAILED
                            ? ContactFailure.NOT_CONNECTED
                            : ContactFailure.BROKEN);
        }
        if (mCollector != null && mCollector.isStreaming()) {
            release(kind);
            mCollector.abort();
            return;
        }
        fail(kind, describe(failure));
    }

    private FailureKind classify(Throwable failure) {
        if (failure instanceof NotSentException) {
            return FailureKind.CONNECT_FAILED;
        }
        return mHeadReceived ? FailureKind.CUT_SHORT : FailureKind.RESET_AFTER_SEND;
    }

    private void recordNoResponse(ContactFailure failure) {
        mConnections.reachability().onFailure(target(), failure, mConnection, mStartedMillis);
    }

    private void fail(FailureKind kind, String cause) {
        release(kind);
        if (mCollector != null) {
            mCollector.discard();
        }
        mResult.complete(new AttemptResult.Failed(target(), kind, cause));
    }

    private void release(FailureKind kind) {
        if (mReleased) {
            return;
        }
        long endMillis = mHeadReceived ? mHeadMillis : mClock.millis();
        mReleased = true;
        try {
            mConnections.reachability().onEnded(this);
        } finally {
            mPool.runtime().release(mSlot, outcome(kind), endMillis - mStartedMillis);
        }
    }

    private static Outcome outcome(FailureKind kind) {
        if (kind == null) {
            return Outcome.SUCCESS;
        }
        return switch (kind) {
            case CONNECT_FAILED -> Outcome.CONNECT_FAILED;
            case REFUSED_NOT_PROCESSED -> Outcome.REFUSED_SHED;
            case SERVER_ERROR -> Outcome.FAILURE;
            case TIMED_OUT -> Outcome.TIMEOUT;
            case CUT_SHORT, RESET_AFTER_SEND -> Outcome.CUT_SHORT;
            case CANCELLED_BY_CALLER -> Outcome.CANCELLED;
        };
    }

    private static String describe(Throwable failure) {
        Throwable cause = Futures.unwrap(failure);
        Throwable root = cause.getCause() == null ? cause : cause.getCause();
        return root.getClass().getSimpleName() + ": " + root.getMessage();
    }
}
