package org.dahliapass.kernel;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;

/** Ends chains of futures whose last step nobody waits for. */
public final class Futures {
    private static final ComponentLog LOG = ComponentLog.of("futures");

    private Futures() {}

    /**
     * Runs a callback when a future is done, with its value or its failure.
     *
     * <p>Guards against a callback that throws: nobody holds the future of its end, so the failure
     * would vanish, which shows as a request that hangs. It is logged here.
     */
    public static <T> void whenDone(
            CompletableFuture<T> future, BiConsumer<? super T, ? super Throwable> callback) {
        CompletableFuture<T> unused =
                future.whenComplete(
                        (value, failure) -> {
                            try {
                                callback.accept(value, failure);
                            } catch (RuntimeException fault) {
                                LOG.error("A callback failed.", fault);
                                throw fault;
                            }
                        });
    }

    /** Returns what made a future fail, without what the chain of futures put around it. */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }
}
