package org.dahliapass.lab;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.SplitHttpResponse;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.model.Endpoint;
import org.dahliapass.standins.PatternBody;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** A caller that pauses after the first chunk of a long response and verifies each byte. */
final class SlowReader implements Subscriber<HttpData> {
    private final CompletableFuture<Subscription> mStarted = new CompletableFuture<>();
    private final CompletableFuture<Long> mEnd = new CompletableFuture<>();
    private Subscription mSubscription;
    private long mLength;

    private SlowReader() {}

    /** Sends a request over a separate connection. */
    static SlowReader start(Endpoint endpoint, String path) {
        SlowReader reader = new SlowReader();
        SplitHttpResponse response = HttpCalls.client("h1c", endpoint).get(path).split();
        response.body().subscribe(reader);
        return reader;
    }

    /** Waits for the first chunk. */
    SlowReader awaitStarted() {
        mStarted.join();
        return this;
    }

    /** Resumes reading; returns the length, or fails if the response is truncated or corrupt. */
    CompletableFuture<Long> resume() {
        mStarted.join().request(Long.MAX_VALUE);
        return mEnd;
    }

    /** Cancels the request in the middle of the response. */
    void cancel() {
        mStarted.join().cancel();
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        subscription.request(1);
    }

    @Override
    public void onNext(HttpData chunk) {
        for (byte value : chunk.array()) {
            if (value != PatternBody.byteAt(mLength)) {
                mEnd.completeExceptionally(
                        new AssertionError("Unexpected byte at offset " + mLength));
            }
            mLength++;
        }
        mStarted.complete(mSubscription);
    }

    @Override
    public void onError(Throwable failure) {
        mStarted.completeExceptionally(failure);
        mEnd.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        mStarted.complete(mSubscription);
        mEnd.complete(mLength);
    }
}
