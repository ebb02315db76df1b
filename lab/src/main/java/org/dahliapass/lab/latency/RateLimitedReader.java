package org.dahliapass.lab.latency;

import com.linecorp.armeria.common.HttpData;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Reads a body no faster than at a given rate and counts its bytes. */
final class RateLimitedReader implements Subscriber<HttpData> {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Pacer mPacer;
    private final ScheduledExecutorService mExecutor;
    private final long mBytesPerSecond;
    private final long mStartNanos;
    private final CompletableFuture<Long> mRead = new CompletableFuture<>();
    private Subscription mSubscription;
    private long mBytes;

    /**
     * Starts with nothing read.
     *
     * @param bytesPerSecond the highest rate
     */
    RateLimitedReader(Pacer pacer, ScheduledExecutorService executor, long bytesPerSecond) {
        mPacer = pacer;
        mExecutor = executor;
        mBytesPerSecond = bytesPerSecond;
        mStartNanos = pacer.nowNanos();
    }

    /** Returns how many bytes the body had, once it has ended; fails if it broke off. */
    CompletableFuture<Long> bodyLength() {
        return mRead;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        subscription.request(1);
    }

    @Override
    public void onNext(HttpData piece) {
        mBytes += piece.length();
        piece.close();
        long due = mStartNanos + (long) (mBytes * NANOS_PER_SECOND / mBytesPerSecond);
        long wait = due - mPacer.nowNanos();
        if (wait <= 0) {
            mSubscription.request(1);
            return;
        }
        var unused = mExecutor.schedule(() -> mSubscription.request(1), wait, TimeUnit.NANOSECONDS);
    }

    @Override
    public void onError(Throwable failure) {
        mRead.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        mRead.complete(mBytes);
    }
}
