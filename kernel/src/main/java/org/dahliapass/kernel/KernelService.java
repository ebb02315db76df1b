package org.dahliapass.kernel;

import java.util.concurrent.CompletableFuture;

/** A component of a process that the {@link Kernel} starts, stops and looks up by name. */
public interface KernelService {

    /**
     * Starts this service, after all services that were registered earlier. Does nothing by
     * default.
     *
     * @param kernel the kernel for looking up other services
     * @return completes when the service is ready; fails with an {@link OperationException}
     */
    default CompletableFuture<Void> start(Kernel kernel) {
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Stops this service gracefully, after its work in flight has finished. Does nothing by
     * default.
     *
     * @return completes when the service has stopped
     */
    default CompletableFuture<Void> stop() {
        return CompletableFuture.completedFuture(null);
    }
}
