package org.dahliapass.registry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.platform.OutcomeUnknownException;

/**
 * A client of the platform's configuration store.
 *
 * <p>All futures fail with an {@link org.dahliapass.kernel.OperationException} if the store can't
 * be reached or sends an invalid response.
 */
public interface StoreClient {
    /** The index of a key that doesn't exist. */
    long ABSENT = 0;

    /** Reads a key; empty if it is absent. */
    CompletableFuture<Optional<StoredValue>> read(String key);

    /**
     * Reads a key once it has changed since an index, or when the wait ends.
     *
     * @param index the index returned by the last read; 0 to return immediately
     * @param wait the maximum wait, in whole seconds
     */
    CompletableFuture<WatchedValue> watch(String key, long index, Duration wait);

    /**
     * Writes a key if its index is unchanged.
     *
     * @param index the index of the value to replace, or {@link #ABSENT}
     * @return fails with {@link OutcomeUnknownException} if the write may have taken effect
     */
    CompletableFuture<SwapResult> compareAndSwap(String key, String value, long index);
}
