package org.dahliapass.standins;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/** Holds blocking reads until their key's index has grown or their wait has ended. */
final class BlockingReads {
    private record Waiting(String key, long index, CompletableFuture<Void> ready) {}

    private final Set<Waiting> mWaiting = ConcurrentHashMap.newKeySet();
    private final ToLongFunction<String> mIndexOf;
    private volatile boolean mClosed;

    BlockingReads(ToLongFunction<String> indexOf) {
        mIndexOf = indexOf;
    }

    /** Returns how many reads wait. */
    int size() {
        return mWaiting.size();
    }

    /** Returns a future that completes when the read is to be answered. */
    CompletableFuture<Void> await(String key, BlockingReadParameters wait, EventLoop eventLoop) {
        if (!wait.isBlocking()) {
            return CompletableFuture.completedFuture(null);
        }
        Waiting waiting = new Waiting(key, wait.index(), new CompletableFuture<>());
        mWaiting.add(waiting);
        Future<?> timer =
                eventLoop.schedule(
                        () -> waiting.ready.complete(null),
                        wait.waitMillis(),
                        TimeUnit.MILLISECONDS);
        // A change between the caller's look and the line above would else be missed.
        completeChanged();
        if (mClosed) {
            waiting.ready.complete(null);
        }
        return waiting.ready.whenComplete(
                (nothing, failure) -> {
                    timer.cancel(false);
                    mWaiting.remove(waiting);
                });
    }

    /** Answers the reads whose key's index has grown. */
    void completeChanged() {
        for (Waiting waiting : mWaiting) {
            if (mIndexOf.applyAsLong(waiting.key) > waiting.index) {
                waiting.ready.complete(null);
            }
        }
    }

    /** Answers all reads. */
    void completeAll() {
        mWaiting.forEach(waiting -> waiting.ready.complete(null));
    }

    /**
     * Answers all reads, later ones at once.
     *
     * <p>Guards against clients that ask again as soon as they are answered: their new reads would
     * wait, and the server's stop would wait for them until its grace has passed.
     */
    void close() {
        mClosed = true;
        completeAll();
    }
}
