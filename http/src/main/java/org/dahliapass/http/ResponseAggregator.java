package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.ProtocolException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Collects one response into a {@link ClientResponse}, within a time limit. */
final class ResponseAggregator implements ResponseListener {
    private static final int INITIAL_BODY_BYTES = 1_024;

    /** Exceeds a copy of the largest configuration and all entries. */
    private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;

    private final EventLoop mLoop;
    private final Duration mTimeLimit;
    private final CompletableFuture<ClientResponse> mResponse = new CompletableFuture<>();
    private final ByteBuf mBody = Unpooled.buffer(INITIAL_BODY_BYTES);
    private ClientCall mCall;
    private ScheduledFuture<?> mTimeoutTask;
    private int mStatus;
    private HttpHeaders mHeaders = EmptyHttpHeaders.INSTANCE;

    ResponseAggregator(EventLoop loop, Duration timeLimit) {
        mLoop = loop;
        mTimeLimit = timeLimit;
    }

    CompletableFuture<ClientResponse> response() {
        return mResponse;
    }

    void startTimeout(ClientCall call) {
        mCall = call;
        if (mResponse.isDone()) {
            return;
        }
        mTimeoutTask =
                mLoop.schedule(
                        () -> {
                            call.abort();
                            mResponse.completeExceptionally(
                                    new TimeoutException(
                                            "No response within "
                                                    + mTimeLimit.toMillis()
                                                    + " ms."));
                        },
                        mTimeLimit.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void onHead(HttpResponse head) {
        mStatus = head.status().code();
        mHeaders = head.headers();
    }

    @Override
    public void onData(ByteBuf chunk) {
        if (mBody.readableBytes() + chunk.readableBytes() > MAX_BODY_BYTES) {
            mCall.abort();
            onFailure(new ProtocolException("The body exceeds " + MAX_BODY_BYTES + " bytes."));
            return;
        }
        mBody.writeBytes(chunk);
    }

    @Override
    public void onEnd(HttpHeaders trailers) {
        cancelTimeout();
        mResponse.complete(new ClientResponse(mStatus, mHeaders, mBody));
    }

    @Override
    public void onFailure(Throwable failure) {
        cancelTimeout();
        mResponse.completeExceptionally(failure);
    }

    private void cancelTimeout() {
        if (mTimeoutTask != null) {
            mTimeoutTask.cancel(false);
        }
    }
}
