package org.dahliapass.lab;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.SplitHttpResponse;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.model.Endpoint;
import org.dahliapass.standins.PatternBody;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * A caller that takes the first piece of a long answer, waits until it is told to read on, and
 * checks each byte.
 */
final class SlowReader implements Subscriber<HttpData> {
    private final CompletableFuture<Subscription> mBegun = new CompletableFuture<>();
    private final CompletableFuture<Long> mEnd = new CompletableFuture<>();
    private Subscription mSubscription;
    private long mLength;

    private SlowReader() {}

    /** Starts to read over a connection of its own. */
    static SlowReader start(Endpoint endpoint, String path) {
        SlowReader reader = new SlowReader();
        SplitHttpResponse answer = HttpCalls.client("h1c", endpoint).get(path).split();
        answer.body().subscribe(reader);
        return reader;
    }

    /** Waits for the first piece. */
    SlowReader awaitStarted() {
        mBegun.join();
        return this;
    }

    /** Reads on; the future has the length of the whole answer, or fails if it was cut or wrong. */
    CompletableFuture<Long> resume() {
        mBegun.join().request(Long.MAX_VALUE);
        return mEnd;
    }

    /** Goes away in the middle of the answer. */
    void cancel() {
        mBegun.join().cancel();
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        subscription.request(1);
    }

    @Override
    public void onNext(HttpData piece) {
        for (byte value : piece.array()) {
            if (value != PatternBody.byteAt(mLength)) {
                mEnd.completeExceptionally(new AssertionError("Wrong byte at " + mLength));
            }
            mLength++;
        }
        mBegun.complete(mSubscription);
    }

    @Override
    public void onError(Throwable failure) {
        mBegun.completeExceptionally(failure);
        mEnd.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        mBegun.complete(mSubscription);
        mEnd.complete(mLength);
    }
}
