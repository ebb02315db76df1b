package org.dahliapass.gateway;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.common.util.Exceptions;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.AsciiString;
import java.nio.channels.ClosedChannelException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.entry.Slot;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.platform.TargetHeaders;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * One offer of one request to one target: sends it, checks the answer and collects it.
 *
 * <p>An answer is handed on only once it is whole, so that one that breaks off can still be asked
 * for again where the request may repeat; an answer too large to be kept is passed on as it comes.
 * Runs on the traffic thread. Each offer gives its slot back exactly once.
 */
final class TargetOffer implements Subscriber<HttpObject> {
    /** Answers up to this size, in bytes, are kept until they are whole. */
    private static final int KEPT_BYTES = 2 * 1024 * 1024;

    private static final int SERVER_ERROR = 500;

    private static final List<AsciiString> HOP_HEADERS =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.of("keep-alive"),
                    HttpHeaderNames.of("proxy-connection"),
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT,
                    TargetHeaders.EXPECTED_INSTANCE);

    private final double mChanceOfBout;
    private final ProxyRequest mRequest;
    private final Slot mSlot;
    private final ServicePool mPool;
    private final TargetConnections mConnections;
    private final Clock mClock;
    private final EventLoop mLoop;
    private final CompletableFuture<OfferResult> mResult = new CompletableFuture<>();
    private final List<HttpData> mKept = new ArrayList<>();
    private TargetConnections.Sent mSent;
    private Subscription mSubscription;
    private ResponseHeaders mHeaders;
    private HttpHeaders mTrailers = HttpHeaders.of();
    private HttpResponseWriter mWriter;
    private Optional<ResetNote> mResets = Optional.empty();
    private long mKeptBytes;
    private long mSentMillis;
    private long mHeadMillis;
    private boolean mReleased;

    TargetOffer(
            ProxyRequest request,
            Slot slot,
            ServicePool pool,
            TargetConnections connections,
            Clock clock,
            EventLoop loop) {
        mRequest = request;
        mSlot = slot;
        mPool = pool;
        mChanceOfBout = pool.runtime().chanceOfBout(slot.target());
        mConnections = connections;
        mClock = clock;
        mLoop = loop;
    }

    /** Sends the request; the future completes once the answer is whole or the offer failed. */
    CompletableFuture<OfferResult> send() {
        mSentMillis = mClock.millis();
        RequestHeaders headers = headersFor(mRequest.remainingMillis(mSentMillis));
        mSent = mConnections.send(target(), HttpRequest.of(headers, mRequest.message().content()));
        mSent.response().subscribe(this, mLoop);
        return mResult;
    }

    /** Returns the target. */
    Endpoint target() {
        return mSlot.target();
    }

    /** Returns the instance that is expected at the target's address; empty if unknown. */
    Optional<String> instance() {
        return mPool.at(target()).map(TargetRegistration::instance);
    }

    /** Returns the chance that the target was in a bout of failure, when it was chosen. */
    double chanceOfBout() {
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
        if (mSent != null) {
            mSent.response().abort();
        }
    }

    private RequestHeaders headersFor(long remaining) {
        RequestHeadersBuilder headers = mRequest.message().headers().toBuilder();
        HOP_HEADERS.forEach(headers::remove);
        headers.path(mRequest.path())
                .scheme("http")
                .set(TargetHeaders.TIME_LEFT_MILLIS, Long.toString(remaining));
        instance().ifPresent(found -> headers.set(TargetHeaders.EXPECTED_INSTANCE, found));
        return headers.build();
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(HttpObject object) {
        if (object instanceof ResponseHeaders headers) {
            onHeaders(headers);
        } else if (object instanceof HttpData data) {
            onData(data);
        } else if (object instanceof HttpHeaders trailers) {
            mTrailers = trailers;
        }
    }

    private void onHeaders(ResponseHeaders headers) {
        if (headers.status().isInformational()) {
            return;
        }
        mHeadMillis = mClock.millis();
        mHeaders = headers;
        AnswerCheck check = AnswerCheck.of(headers, mRequest.id());
        if (check == AnswerCheck.OWN) {
            watchUnframed(headers);
            return;
        }
        fail(check.failure(), check.cause() + " (status " + headers.status().code() + ")");
        if (check != AnswerCheck.NOT_RUN) {
            closeConnection();
        }
    }

    private void watchUnframed(ResponseHeaders headers) {
        boolean framed =
                headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        Channel connection =
                mSent.context().log().isAvailable(RequestLogProperty.SESSION)
                        ? mSent.context().log().partial().channel()
                        : null;
        if (!framed && connection != null) {
            mResets = Optional.of(ResetNote.on(connection));
        }
    }

    /** Guards against more bytes of unknown origin that would meet the next request. */
    private void closeConnection() {
        mSubscription.cancel();
        Futures.whenDone(
                mSent.context().log().whenAvailable(RequestLogProperty.SESSION),
                (log, failure) -> {
                    if (failure == null && log.channel() != null) {
                        ChannelFuture unused = log.channel().close();
                    }
                });
    }

    private void onData(HttpData data) {
        if (mResult.isDone() && mWriter == null) {
            data.close();
            return;
        }
        if (mWriter != null) {
            write(data);
            return;
        }
        mKept.add(data);
        mKeptBytes += data.length();
        if (mKeptBytes > KEPT_BYTES && mHeaders.status().code() < SERVER_ERROR) {
            passOn();
        }
    }

    /** Begins to pass on an answer that is too large to be kept. */
    private void passOn() {
        mWriter = HttpResponse.streaming();
        mWriter.write(forCaller());
        mKept.forEach(this::write);
        mKept.clear();
        Futures.whenDone(
                mWriter.whenComplete(),
                (ignored, failure) -> {
                    if (failure != null) {
                        mLoop.execute(() -> abort(FailureKind.CANCELLED_BY_CALLER));
                    }
                });
        mResult.complete(new OfferResult.Answered(target(), mHeaders.status().code(), mWriter));
    }

    private void write(HttpData data) {
        if (!mWriter.tryWrite(data)) {
            data.close();
        }
    }

    @Override
    public void onComplete() {
        if (mHeaders == null) {
            fail(FailureKind.CUT_SHORT, "the answer has no head");
            return;
        }
        if (mResets.map(ResetNote::isReset).orElse(false)) {
            onError(new ClosedChannelException());
            return;
        }
        boolean error = mHeaders.status().code() >= SERVER_ERROR;
        release(error ? FailureKind.SERVER_ERROR : null);
        if (mWriter != null) {
            if (!mTrailers.isEmpty()) {
                mWriter.write(mTrailers);
            }
            mWriter.close();
            return;
        }
        mResult.complete(
                new OfferResult.Answered(
                        target(),
                        mHeaders.status().code(),
                        HttpResponse.of(forCaller(), HttpData.wrap(keptBytes()), mTrailers)));
    }

    private byte[] keptBytes() {
        byte[] all = new byte[(int) mKeptBytes];
        int at = 0;
        for (HttpData data : mKept) {
            System.arraycopy(data.array(), 0, all, at, data.length());
            at += data.length();
        }
        return all;
    }

    @Override
    public void onError(Throwable failure) {
        FailureKind kind = classify(failure);
        if (mWriter != null) {
            release(kind);
            mWriter.close(failure);
            return;
        }
        fail(kind, describe(failure));
    }

    private FailureKind classify(Throwable failure) {
        if (Exceptions.peel(failure) instanceof UnprocessedRequestException) {
            return FailureKind.CONNECT_FAILED;
        }
        return mHeaders == null ? FailureKind.RESET_AFTER_SEND : FailureKind.CUT_SHORT;
    }

    private void fail(FailureKind kind, String cause) {
        release(kind);
        mResult.complete(new OfferResult.Failed(target(), kind, cause));
    }

    private ResponseHeaders forCaller() {
        ResponseHeadersBuilder headers = mHeaders.toBuilder();
        HOP_HEADERS.forEach(headers::remove);
        return headers.build();
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
        Throwable cause = Exceptions.peel(failure);
        Throwable root = cause.getCause() == null ? cause : cause.getCause();
        return root.getClass().getSimpleName() + ": " + root.getMessage();
    }
}
