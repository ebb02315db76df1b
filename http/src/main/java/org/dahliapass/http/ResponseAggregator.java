package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Collects one answer within a time limit. */
final class ResponseAggregator implements ResponseListener {
    private static final int FIRST_BODY_BYTES = 1_024;

    private final EventLoop mLoop;
    private final Duration mLimit;
    private final CompletableFuture<ClientResponse> mAnswer = new CompletableFuture<>();
    private final ByteBuf mBody = Unpooled.buffer(FIRST_BODY_BYTES);
    private ScheduledFuture<?> mTimeout;
    private int mStatus;

    ResponseAggregator(EventLoop loop, Duration limit) {
        mLoop = loop;
        mLimit = limit;
    }

    CompletableFuture<ClientResponse> response() {
        return mAnswer;
    }

    void startTimeout(ClientCall call) {
        if (mAnswer.isDone()) {
            return;
        }
        mTimeout =
                mLoop.schedule(
                        () -> {
                            call.abort();
                            mAnswer.completeExceptionally(
                                    new TimeoutException(
                                            "No answer within " + mLimit.toMillis() + " ms."));
                        },
                        mLimit.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void onHead(HttpResponse head) {
        mStatus = head.status().code();
    }

    @Override
    public void onData(ByteBuf piece) {
        mBody.writeBytes(piece);
    }

    @Override
    public void onEnd(HttpHeaders trailers) {
        cancelTimeout();
        mAnswer.complete(new ClientResponse(mStatus, mBody));
    }

    @Override
    public void onFailure(Throwable failure) {
        cancelTimeout();
        mAnswer.completeExceptionally(failure);
    }

    private void cancelTimeout() {
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
    }
}
