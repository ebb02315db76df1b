package org.dahliapass.kernel;

import java.util.concurrent.CompletableFuture;

/** A part of a process, which the {@link Kernel} starts, stops and finds by name. */
public interface KernelService {

    /**
     * Starts this service. Services that were registered earlier are running by then. Does nothing
     * unless overridden.
     *
     * @param kernel where other services are found by name
     * @return completes when the service may be used; fails with a {@link OperationException}
     */
    default CompletableFuture<Void> start(Kernel kernel) {
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Stops this service gracefully: what is in flight ends first. Does nothing unless overridden.
     *
     * @return completes when nothing of this service runs any more
     */
    default CompletableFuture<Void> stop() {
        return CompletableFuture.completedFuture(null);
    }
}
