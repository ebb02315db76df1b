package org.dahliapass.kernel;

import java.util.concurrent.CompletableFuture;

/** A part of a process, which the {@link Kernel} starts, stops and finds by name. */
public interface KernelService {

    /**
     * Starts this service. Services that were registered earlier are running by then.
     *
     * @param kernel where other services are found by name
     * @return completes when the service may be used; fails with a {@link StepException}
     */
    CompletableFuture<Void> start(Kernel kernel);

    /**
     * Stops this service gracefully: what is in flight ends first.
     *
     * @return completes when nothing of this service runs any more
     */
    CompletableFuture<Void> stop();
}
