package org.dahliapass.kernel;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;

/** Utilities for {@link CompletableFuture}s. */
public final class Futures {
    private static final ComponentLog LOG = ComponentLog.of("futures");

    private Futures() {}

    /**
     * Runs a callback when a future completes, with its value or its failure.
     *
     * <p>An exception of the callback is logged, since no caller sees the resulting future.
     */
    public static <T> void whenDone(
            CompletableFuture<T> future, BiConsumer<? super T, ? super Throwable> callback) {
        CompletableFuture<T> unused =
                future.whenComplete(
                        (value, failure) -> {
                            try {
                                callback.accept(value, failure);
                            } catch (RuntimeException | Error exception) {
                                LOG.error("A completion callback failed.", exception);
                                throw exception;
                            }
                        });
    }

    /** Returns the failure without any wrapping {@link CompletionException}s. */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }
}
