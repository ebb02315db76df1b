package org.dahliapass.registry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's VM list.
 *
 * <p>All futures fail with an {@link org.dahliapass.kernel.OperationException}.
 */
public interface VmListClient {

    /**
     * Reads the list once it has changed since an index, or when the wait ends.
     *
     * @param index the index returned by the last read; 0 to return immediately
     * @param wait the maximum wait, in whole seconds
     */
    CompletableFuture<VmList> watch(long index, Duration wait);

    /** Registers a VM, replacing any entry of the same name. */
    CompletableFuture<Void> register(ListedVm vm);

    /** Removes a VM from the list by name. */
    CompletableFuture<Void> deregister(String name);
}
