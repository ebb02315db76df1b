package org.dahliapass.entry;

import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.SplitHttpResponse;
import com.linecorp.armeria.common.stream.StreamMessage;
import com.linecorp.armeria.common.util.Exceptions;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.traffic.ServiceRuntime;
import org.dahliapass.traffic.Slot;

/**
 * An attempt to send a request to a target: waits for a slot, sends the request and streams the
 * response. Releases its slot exactly once.
 *
 * <p>A late response can't reach another caller: a connection serves one exchange at a time and is
 * closed when its exchange is cancelled or fails.
 */
final class TargetAttempt {
    private static final int MIN_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Duration MIN_STALL_TIMEOUT = Duration.ofSeconds(30);
    private static final List<CharSequence> HOP_BY_HOP_HEADERS =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.of("keep-alive"),
                    HttpHeaderNames.of("proxy-connection"),
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.HOST,
                    CallerHeaders.FORWARDED_BY);

    private final CallerRequest mRequest;
    private final ServiceRuntime mRuntime;
    private final TargetClients mClients;
    private final Clock mClock;
    private final AtomicBoolean mReleased = new AtomicBoolean();
    private final CompletableFuture<AttemptResult> mResult = new CompletableFuture<>();
    private volatile CompletableFuture<Slot> mSlot;
    private volatile TargetClients.SentRequest mSent;
    private volatile boolean mCancelled;
    private volatile long mSentMillis;
    private volatile long mHeadMillis;

    TargetAttempt(
            CallerRequest request, ServiceRuntime runtime, TargetClients clients, Clock clock) {
        mRequest = request;
        mRuntime = runtime;
        mClients = clients;
        mClock = clock;
    }

    /** Starts the attempt; the future completes with the response headers or the failure. */
    CompletableFuture<AttemptResult> start(CompletableFuture<Slot> slot) {
        mSlot = slot;
        Futures.whenDone(slot, this::onSlot);
        return mResult;
    }

    /** Returns the target, or empty until a slot is acquired. */
    Optional<Endpoint> target() {
        return slot().map(Slot::target);
    }

    /** Returns the slot, or empty until it is acquired. */
    Optional<Slot> slot() {
        CompletableFuture<Slot> slot = mSlot;
        boolean acquired = slot != null && slot.isDone() && !slot.isCompletedExceptionally();
        return acquired ? Optional.of(slot.join()) : Optional.empty();
    }

    /** Cancels the attempt because the caller disconnected or another attempt won. */
    void cancel() {
        mCancelled = true;
        mSlot.cancel(false);
        TargetClients.SentRequest sent = mSent;
        if (sent != null) {
            sent.response().abort();
        }
    }

    private void onSlot(Slot slot, Throwable failure) {
        if (failure != null) {
            mResult.complete(new AttemptResult.Refused(SlotRefusals.of(failure)));
            return;
        }
        long remaining = mRequest.remainingMillis(mClock.millis());
        if (mCancelled || remaining == 0) {
            release(slot, FailureKind.CANCELLED_BY_CALLER);
            mResult.complete(new AttemptResult.Refused(deadlinePassed()));
            return;
        }
        send(slot, remaining);
    }

    private void send(Slot slot, long remaining) {
        mSentMillis = mClock.millis();
        HttpRequest message = HttpRequest.of(headersFor(remaining), mRequest.message().content());
        mSent = mClients.send(slot.target(), message, Duration.ofMillis(remaining));
        SplitHttpResponse split = mSent.response().split();
        Futures.whenDone(
                split.headers(),
                (headers, failure) -> {
                    if (failure != null) {
                        fail(slot, classify(failure), failure);
                        return;
                    }
                    onHeaders(slot, headers, split);
                });
        if (mCancelled) {
            mSent.response().abort();
        }
    }

    private void onHeaders(Slot slot, ResponseHeaders headers, SplitHttpResponse split) {
        mHeadMillis = mClock.millis();
        mRuntime.onResponseHead(mRequest.kind(), mHeadMillis - mSentMillis);
        if (isRefusedByTarget(headers)) {
            if (headers.contains(CallerHeaders.DRAINING)) {
                mRuntime.onDraining(slot.target());
            }
            split.body().abort();
            fail(slot, FailureKind.REFUSED_NOT_PROCESSED, null);
            return;
        }
        boolean error = headers.status().code() >= MIN_SERVER_ERROR;
        mSent.context().clearResponseTimeout();
        StalledResponseMonitor.WatchedResponse watched =
                mClients.stallMonitor().watch(mSent.response(), stallTimeout());
        StreamMessage<HttpData> body = split.body().peek(chunk -> watched.onProgress());
        Futures.whenDone(
                body.whenComplete(),
                (ignored, failure) -> {
                    mClients.stallMonitor().unwatch(watched);
                    release(slot, error ? FailureKind.SERVER_ERROR : bodyFailure(failure));
                });
        mResult.complete(new AttemptResult.Responded(slot.target(), headers, body));
    }

    /** Once the response has begun, only a stall ends it, not the deadline. */
    private Duration stallTimeout() {
        Duration deadline = mRequest.kind().deadline();
        return deadline.compareTo(MIN_STALL_TIMEOUT) > 0 ? deadline : MIN_STALL_TIMEOUT;
    }

    private FailureKind bodyFailure(Throwable failure) {
        if (failure == null) {
            return null;
        }
        return mCancelled || isCallerCancellation(failure)
                ? FailureKind.CANCELLED_BY_CALLER
                : FailureKind.CUT_SHORT;
    }

    private void fail(Slot slot, FailureKind kind, Throwable failure) {
        release(slot, kind);
        String cause = failure == null ? "refused by the target" : describe(failure);
        mResult.complete(new AttemptResult.Failed(slot.target(), kind, cause));
    }

    private void release(Slot slot, FailureKind kind) {
        if (!mReleased.compareAndSet(false, true)) {
            return;
        }
        long headMillis = mHeadMillis == 0 ? mClock.millis() : mHeadMillis;
        long latency = mSentMillis == 0 ? 0 : headMillis - mSentMillis;
        mRuntime.release(slot, outcome(kind), latency);
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

    private FailureKind classify(Throwable failure) {
        Throwable cause = Exceptions.peel(failure);
        if (mCancelled) {
            return FailureKind.CANCELLED_BY_CALLER;
        }
        if (cause instanceof UnprocessedRequestException) {
            return FailureKind.CONNECT_FAILED;
        }
        if (cause instanceof ResponseTimeoutException) {
            return FailureKind.TIMED_OUT;
        }
        return FailureKind.RESET_AFTER_SEND;
    }

    private static boolean isCallerCancellation(Throwable failure) {
        Throwable cause = Exceptions.peel(failure);
        return cause instanceof com.linecorp.armeria.common.stream.CancelledSubscriptionException
                || cause instanceof com.linecorp.armeria.common.stream.AbortedStreamException;
    }

    private static boolean isRefusedByTarget(ResponseHeaders headers) {
        return headers.status().code() == SERVICE_UNAVAILABLE
                && headers.contains(CallerHeaders.NOT_PROCESSED);
    }

    private RequestHeaders headersFor(long remaining) {
        RequestHeadersBuilder headers = mRequest.message().headers().toBuilder();
        HOP_BY_HOP_HEADERS.forEach(headers::remove);
        return headers.path(mRequest.path())
                .scheme("http")
                .set(CallerHeaders.REQUEST_TIMEOUT, Long.toString(remaining))
                .set(CallerHeaders.REQUEST_ID, mRequest.id())
                .build();
    }

    private static Refusal deadlinePassed() {
        return Refusal.of(RefusalCode.OVERLOADED, "No slot came free before the deadline.", 1000);
    }

    private static String describe(Throwable failure) {
        Throwable cause = Exceptions.peel(failure);
        Throwable root = cause.getCause() == null ? cause : cause.getCause();
        return root.getClass().getSimpleName() + ": " + root.getMessage();
    }
}
