package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.dahliapass.decisions.access.CallerIdentity;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.limits.LimitStatement;
import org.dahliapass.decisions.reachability.ConnectionUse;
import org.dahliapass.decisions.reachability.ContactFailure;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.http.ClientCall;
import org.dahliapass.http.HopByHopHeaders;
import org.dahliapass.http.NotSentException;
import org.dahliapass.http.ResponseListener;
import org.dahliapass.http.ServerResponse;
import org.dahliapass.kernel.Futures;
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
final class TargetAttempt implements ResponseListener {
    /** The maximum size of a buffered response body, in bytes. */
    private static final int MAX_BUFFERED_BYTES = 2 * 1024 * 1024;

    private static final int CLIENT_ERROR = 400;

    private static final int SERVER_ERROR = 500;

    private static final int DEFAULT_BODY_BYTES = 1_024;

    private final AttemptCause mCause;
    private final double mFailureProbability;
    private final ProxyRequest mRequest;
    private final Slot mSlot;
    private final ServicePool mPool;
    private final TargetConnections mConnections;
    private final Clock mClock;
    private final BooleanSupplier mIsCallerConnected;
    private final CompletableFuture<AttemptResult> mResult = new CompletableFuture<>();
    private ClientCall mCall;
    private HttpResponse mHead;
    private ByteBuf mBuffer;
    private StreamedResponse mStream;
    private long mStartedMillis;
    private long mWrittenMillis;
    private long mHeadMillis;
    private ConnectionUse mConnection = ConnectionUse.NEW;
    private LimitStatement mLimit = LimitStatement.UNLIMITED;
    private boolean mReleased;
    private boolean mDropped;

    TargetAttempt(
            ProxyRequest request,
            Slot slot,
            ServicePool pool,
            TargetConnections connections,
            Clock clock,
            AttemptCause cause,
            BooleanSupplier isCallerConnected) {
        mCause = cause;
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
                                this);
        return mResult;
    }

    Endpoint target() {
        return mSlot.target();
    }

    /** Returns the target instance; the request names it so that no other instance executes it. */
    TargetInstance instance() {
        return mSlot.instance();
    }

    /** Returns whether the target was registered as draining when the request arrived. */
    boolean isTargetDraining() {
        return mPool.registrationAt(target()).map(TargetRegistration::draining).orElse(false);
    }

    /**
     * Returns the estimated probability, at the time of the selection, that the target was in a
     * failure period.
     */
    double failureProbability() {
        return mFailureProbability;
    }

    /** Returns the request limit that the response names. */
    LimitStatement limit() {
        return mLimit;
    }

    /** Returns whether the request was sent on a new or on an open connection. */
    ConnectionUse connection() {
        return mConnection;
    }

    /** Returns why the request is sent. */
    AttemptCause cause() {
        return mCause;
    }

    /** Returns when the attempt began to look for a connection, in milliseconds. */
    long startedMillis() {
        return mStartedMillis;
    }

    /**
     * Ends the attempt and closes its connection, which tells the target to stop.
     *
     * @param kind the failure to record for the target
     */
    void abort(FailureKind kind) {
        if (kind == FailureKind.TIMED_OUT && !mReleased && mHead == null) {
            recordNoResponse(ContactFailure.SILENT);
        }
        release(kind);
        if (mCall != null) {
            mCall.abort();
        }
    }

    /** Returns when the request was written to its connection, in milliseconds; 0 if never. */
    long writtenMillis() {
        return mWrittenMillis;
    }

    /** Returns whether bytes of the request may have reached the target. */
    boolean isSent() {
        return mWrittenMillis > 0;
    }

    /**
     * Drops the request if its caller has disconnected or its time is over.
     *
     * <p>Guards against sending a request whose caller disconnected while the request waited in a
     * socket buffer, for a slot or for its connection, and the event loop was busy.
     */
    @Override
    public boolean onConnected(HttpHeaders headers, boolean reused) {
        long now = mClock.millis();
        mConnection = reused ? ConnectionUse.OPEN : ConnectionUse.NEW;
        if (!reused) {
            mConnections.reachability().onReached(target());
        }
        long remaining = mRequest.remainingMillis(now);
        if (remaining == 0 || !mIsCallerConnected.getAsBoolean()) {
            mDropped = true;
            return false;
        }
        headers.set(TargetHeaders.REMAINING_MILLIS, Long.toString(remaining));
        mWrittenMillis = now;
        return true;
    }

    @Override
    public void onHead(HttpResponse head) {
        mHeadMillis = mClock.millis();
        mHead = head;
        mConnections.reachability().onReached(target());
        int status = head.status().code();
        ResponseCheck check = ResponseCheck.of(status, head.headers(), mRequest.id());
        if (check.isFromExpectedTarget(status)) {
            mLimit = LimitStatement.parse(TargetHeaders.requestLimits(head.headers()));
            // Only a success proves that a limit is lifted.
            if (!mLimit.equals(LimitStatement.UNLIMITED) || status < CLIENT_ERROR) {
                mPool.runtime().onLimitStatement(mSlot, mLimit);
            }
        }
        if (check == ResponseCheck.VALID) {
            mBuffer = Unpooled.buffer(initialCapacity());
            return;
        }
        fail(check.failureKind(), check.cause() + " (status " + status + ")");
        if (check != ResponseCheck.NOT_EXECUTED) {
            // Guards against further bytes of unknown origin on a connection that serves the next
            // request.
            mCall.abort();
        }
    }

    private int initialCapacity() {
        long contentLength = HttpUtil.getContentLength(mHead, (long) DEFAULT_BODY_BYTES);
        return (int) Math.min(contentLength, MAX_BUFFERED_BYTES);
    }

    @Override
    public void onData(ByteBuf chunk) {
        if (mStream != null) {
            mStream.write(chunk.retainedDuplicate());
            return;
        }
        if (mResult.isDone()) {
            return;
        }
        boolean isError = mHead.status().code() >= SERVER_ERROR;
        if (mBuffer.readableBytes() + chunk.readableBytes() <= MAX_BUFFERED_BYTES || isError) {
            mBuffer.writeBytes(chunk);
            return;
        }
        startStreaming();
        mStream.write(chunk.retainedDuplicate());
    }

    /** Starts to stream a response that exceeds the buffer limit. */
    private void startStreaming() {
        mStream =
                new StreamedResponse(
                        mHead.status(),
                        callerHeaders(),
                        HttpUtil.getContentLength(mHead, -1L),
                        mBuffer,
                        mCall::setAutoRead,
                        () -> abort(FailureKind.CANCELLED_BY_CALLER));
        mBuffer = null;
        mResult.complete(new AttemptResult.Responded(target(), mHead.status().code(), mStream));
    }

    @Override
    public void onEnd(HttpHeaders trailers) {
        if (mResult.isDone() && mStream == null) {
            return;
        }
        boolean isError = mHead.status().code() >= SERVER_ERROR;
        release(isError ? FailureKind.SERVER_ERROR : null);
        if (mStream != null) {
            mStream.end(trailers);
            return;
        }
        ServerResponse response =
                new ServerResponse(mHead.status(), callerHeaders(), mBuffer, trailers);
        mResult.complete(
                new AttemptResult.Responded(
                        target(), mHead.status().code(), CallerResponse.buffered(response)));
    }

    @Override
    public void onFailure(Throwable failure) {
        if (mDropped) {
            release(FailureKind.CANCELLED_BY_CALLER);
            mResult.complete(new AttemptResult.Dropped(target()));
            return;
        }
        FailureKind kind = classify(failure);
        if (mHead == null) {
            recordNoResponse(
                    kind == FailureKind.CONNECT_FAILED
                            ? ContactFailure.NOT_CONNECTED
                            : ContactFailure.BROKEN);
        }
        if (mStream != null) {
            release(kind);
            mStream.abort();
            return;
        }
        fail(kind, describe(failure));
    }

    private FailureKind classify(Throwable failure) {
        if (failure instanceof NotSentException) {
            return FailureKind.CONNECT_FAILED;
        }
        return mHead == null ? FailureKind.RESET_AFTER_SEND : FailureKind.CUT_SHORT;
    }

    private void recordNoResponse(ContactFailure failure) {
        mConnections.reachability().onFailure(target(), failure, mConnection);
    }

    private void fail(FailureKind kind, String cause) {
        release(kind);
        mResult.complete(new AttemptResult.Failed(target(), kind, cause));
    }

    private HttpHeaders callerHeaders() {
        HttpHeaders headers = mHead.headers();
        HopByHopHeaders.strip(headers, TargetRequestHead.ALWAYS_FORWARDED);
        return headers;
    }

    private void release(FailureKind kind) {
        if (mReleased) {
            return;
        }
        mReleased = true;
        long endMillis = mHeadMillis == 0 ? mClock.millis() : mHeadMillis;
        mPool.runtime().release(mSlot, outcome(kind), endMillis - mStartedMillis);
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
