package org.dahliapass.registry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.platform.OutcomeUnknownException;

/**
 * Reads and writes the platform's configuration store.
 *
 * <p>All futures fail with a {@link org.dahliapass.kernel.OperationException} if the store can't be
 * reached or answers wrongly.
 */
public interface StoreClient {
    /** The index that stands for "the key must not exist yet". */
    long ABSENT = 0;

    /** Reads a key; empty if it is absent. */
    CompletableFuture<Optional<StoredValue>> read(String key);

    /**
     * Reads a key once it has changed after an index, or when the wait ends.
     *
     * @param index the index that the last read answered; 0 answers at once
     * @param wait how long the store holds the read, whole seconds
     */
    CompletableFuture<WatchedValue> watch(String key, long index, Duration wait);

    /**
     * Writes a key if its index is still the given one.
     *
     * @param index the index of the value that is replaced, or {@link #ABSENT}
     * @return fails with {@link OutcomeUnknownException} if the write may have taken effect
     */
    CompletableFuture<SwapResult> compareAndSwap(String key, String value, long index);
}
