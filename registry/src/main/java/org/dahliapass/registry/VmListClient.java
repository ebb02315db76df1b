package org.dahliapass.registry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the platform's VM list and keeps a VM's own entry in it.
 *
 * <p>All futures fail with a {@link org.dahliapass.kernel.OperationException}.
 */
public interface VmListClient {

    /**
     * Reads the list once it has changed after an index, or when the wait ends.
     *
     * @param index the index that the last read answered; 0 answers at once
     * @param wait how long the platform holds the read, whole seconds
     */
    CompletableFuture<VmList> watch(long index, Duration wait);

    /** Adds a VM, or replaces the entry of the same name. */
    CompletableFuture<Void> register(ListedVm vm);

    /** Takes a VM out of the list by its name. */
    CompletableFuture<Void> deregister(String name);
}
