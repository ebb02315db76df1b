package org.dahliapass.standins;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/** The pending blocking reads, each until its key's index increases or its wait expires. */
final class BlockingReads {
    private record PendingRead(String key, long index, CompletableFuture<Void> ready) {}

    private final Set<PendingRead> mPendingReads = ConcurrentHashMap.newKeySet();
    private final ToLongFunction<String> mIndexByKey;
    private volatile boolean mClosed;

    BlockingReads(ToLongFunction<String> indexOf) {
        mIndexByKey = indexOf;
    }

    /** Returns the number of pending reads. */
    int size() {
        return mPendingReads.size();
    }

    /** Returns a future that completes when the read should return. */
    CompletableFuture<Void> await(String key, BlockingReadParameters wait, EventLoop eventLoop) {
        if (!wait.isBlocking()) {
            return CompletableFuture.completedFuture(null);
        }
        PendingRead read = new PendingRead(key, wait.index(), new CompletableFuture<>());
        mPendingReads.add(read);
        Future<?> timer =
                eventLoop.schedule(
                        () -> read.ready.complete(null), wait.waitMillis(), TimeUnit.MILLISECONDS);
        // Catches a change between the caller's read of the index and the registration above.
        completeChanged();
        if (mClosed) {
            read.ready.complete(null);
        }
        return read.ready.whenComplete(
                (ignored, failure) -> {
                    timer.cancel(false);
                    mPendingReads.remove(read);
                });
    }

    /** Completes the reads whose key's index has increased. */
    void completeChanged() {
        for (PendingRead read : mPendingReads) {
            if (mIndexByKey.applyAsLong(read.key) > read.index) {
                read.ready.complete(null);
            }
        }
    }

    /** Completes all reads. */
    void completeAll() {
        mPendingReads.forEach(read -> read.ready.complete(null));
    }

    /**
     * Completes all pending reads, and later reads at once.
     *
     * <p>Otherwise clients that repeat their blocking read would delay the server's shutdown.
     */
    void close() {
        mClosed = true;
        completeAll();
    }
}
