package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.health.Outcome;
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
 * One offer of one request to one target: sends it, checks the answer and collects it.
 *
 * <p>An answer is handed on only once it is whole, so that one that breaks off can still be asked
 * for again where the request may repeat; an answer too large to be kept is passed on as it comes.
 * Runs on the traffic thread. Each offer gives its slot back exactly once.
 */
final class TargetAttempt implements ResponseListener {
    /** Answers up to this size, in bytes, are kept until they are whole. */
    private static final int KEPT_BYTES = 2 * 1024 * 1024;

    private static final int SERVER_ERROR = 500;

    private static final int FIRST_BODY_BYTES = 1_024;

    /**
     * Guards against a caller, or a target, that has the proof of who asked and who answered taken
     * out on its way by naming it among the headers of its connection.
     */
    private static final List<AsciiString> ALWAYS_PASSED_ON =
            List.of(TargetHeaders.ATTEMPT_ID, TargetHeaders.SIGNATURE);

    private final double mChanceOfBout;
    private final ProxyRequest mRequest;
    private final Slot mSlot;
    private final ServicePool mPool;
    private final TargetConnections mConnections;
    private final Clock mClock;
    private final CompletableFuture<AttemptResult> mResult = new CompletableFuture<>();
    private ClientCall mCall;
    private HttpResponse mHead;
    private ByteBuf mKept;
    private StreamedResponse mStream;
    private long mSentMillis;
    private long mHeadMillis;
    private boolean mReleased;

    TargetAttempt(
            ProxyRequest request,
            Slot slot,
            ServicePool pool,
            TargetConnections connections,
            Clock clock) {
        mRequest = request;
        mSlot = slot;
        mPool = pool;
        mChanceOfBout = pool.runtime().failingProbability(slot.target());
        mConnections = connections;
        mClock = clock;
    }

    /** Sends the request; the future completes once the answer is whole or the offer failed. */
    CompletableFuture<AttemptResult> send() {
        mSentMillis = mClock.millis();
        mCall =
                mConnections
                        .client()
                        .send(
                                target(),
                                mRequest.method(),
                                mRequest.path(),
                                headersFor(mRequest.remainingMillis(mSentMillis)),
                                mRequest.body(),
                                this);
        return mResult;
    }

    /** Returns the target. */
    Endpoint target() {
        return mSlot.target();
    }

    /** Returns the target, which the request names, so that no other one runs it. */
    TargetInstance instance() {
        return mSlot.instance();
    }

    /** Returns whether the target said that it leaves, as far as known when the request came. */
    boolean isTargetDraining() {
        return mPool.registrationAt(target()).map(TargetRegistration::draining).orElse(false);
    }

    /** Returns the chance that the target was in a bout of failure, when it was chosen. */
    double failureProbability() {
        return mChanceOfBout;
    }

    /** Returns when the request was sent, in milliseconds. */
    long sentMillis() {
        return mSentMillis;
    }

    /**
     * Ends the offer and closes its connection, which tells the target to stop.
     *
     * @param kind what that says of the target
     */
    void abort(FailureKind kind) {
        release(kind);
        if (mCall != null) {
            mCall.abort();
        }
    }

    private HttpHeaders headersFor(long remaining) {
        HttpHeaders headers = new DefaultHttpHeaders().set(mRequest.headers());
        HopByHopHeaders.strip(headers, ALWAYS_PASSED_ON);
        headers.set(TargetHeaders.REMAINING_MILLIS, Long.toString(remaining));
        headers.set(TargetHeaders.EXPECTED_INSTANCE, instance().name());
        return headers;
    }

    @Override
    public void onHead(HttpResponse head) {
        mHeadMillis = mClock.millis();
        mHead = head;
        int status = head.status().code();
        ResponseCheck check = ResponseCheck.of(status, head.headers(), mRequest.id());
        if (check == ResponseCheck.VALID) {
            mKept = Unpooled.buffer(firstBytes());
            return;
        }
        fail(check.failureKind(), check.cause() + " (status " + status + ")");
        if (check != ResponseCheck.NOT_EXECUTED) {
            // Guards against more bytes of unknown origin that would meet the next request.
            mCall.abort();
        }
    }

    private int firstBytes() {
        long told = HttpUtil.getContentLength(mHead, (long) FIRST_BODY_BYTES);
        return (int) Math.min(told, KEPT_BYTES);
    }

    @Override
    public void onData(ByteBuf piece) {
        if (mStream != null) {
            mStream.write(piece.retainedDuplicate());
            return;
        }
        if (mResult.isDone()) {
            return;
        }
        boolean isError = mHead.status().code() >= SERVER_ERROR;
        if (mKept.readableBytes() + piece.readableBytes() <= KEPT_BYTES || isError) {
            mKept.writeBytes(piece);
            return;
        }
        passOn();
        mStream.write(piece.retainedDuplicate());
    }

    /** Begins to pass on an answer that is too large to be kept. */
    private void passOn() {
        mStream =
                new StreamedResponse(
                        mHead.status(),
                        forCaller(),
                        HttpUtil.getContentLength(mHead, -1L),
                        mKept,
                        mCall::setAutoRead,
                        () -> abort(FailureKind.CANCELLED_BY_CALLER));
        mKept = null;
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
        ServerResponse answer = new ServerResponse(mHead.status(), forCaller(), mKept, trailers);
        mResult.complete(
                new AttemptResult.Responded(
                        target(), mHead.status().code(), CallerResponse.buffered(answer)));
    }

    @Override
    public void onFailure(Throwable failure) {
        FailureKind kind = classify(failure);
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

    private void fail(FailureKind kind, String cause) {
        release(kind);
        mResult.complete(new AttemptResult.Failed(target(), kind, cause));
    }

    private HttpHeaders forCaller() {
        HttpHeaders headers = mHead.headers();
        HopByHopHeaders.strip(headers, ALWAYS_PASSED_ON);
        return headers;
    }

    private void release(FailureKind kind) {
        if (mReleased) {
            return;
        }
        mReleased = true;
        long until = mHeadMillis == 0 ? mClock.millis() : mHeadMillis;
        mPool.runtime().release(mSlot, outcome(kind), until - mSentMillis);
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
