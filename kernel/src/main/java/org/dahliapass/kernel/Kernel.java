package org.dahliapass.kernel;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * A registry of a process's services that starts them in registration order and stops them in
 * reverse order.
 *
 * <p>Register all services before {@link #start()}; afterwards, lookups are thread-safe.
 */
public final class Kernel {
    private static final ComponentLog LOG = ComponentLog.of("kernel");

    private final Map<String, KernelService> mServices = new LinkedHashMap<>();
    private final List<String> mStarted = new ArrayList<>();

    /**
     * Registers a service under a name.
     *
     * @throws IllegalStateException if the name is already registered
     */
    public Kernel register(String name, KernelService service) {
        if (mServices.putIfAbsent(name, service) != null) {
            throw new IllegalStateException(
                    "A service named '"
                            + name
                            + "' is already registered. Register each service once.");
        }
        return this;
    }

    /**
     * Returns the service of a name.
     *
     * @throws IllegalStateException if there is no service of that name and type
     */
    public <T> T find(String name, Class<T> type) {
        KernelService service = mServices.get(name);
        if (!type.isInstance(service)) {
            throw new IllegalStateException(
                    "No service '"
                            + name
                            + "' of type "
                            + type.getSimpleName()
                            + ". Register it before the services that use it.");
        }
        return type.cast(service);
    }

    /**
     * Starts all services, one after another.
     *
     * @return fails with the first failure, after the services started so far have stopped
     */
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
        for (Map.Entry<String, KernelService> entry : mServices.entrySet()) {
            chain = chain.thenCompose(ignored -> startOne(entry.getKey(), entry.getValue()));
        }
        return chain.handle((ignored, failure) -> failure)
                .thenCompose(failure -> failure == null ? done() : stopAfter(failure));
    }

    /** Stops the started services in reverse order; failures are logged and ignored. */
    public CompletableFuture<Void> stop() {
        List<String> names;
        synchronized (mStarted) {
            names = new ArrayList<>(mStarted);
            mStarted.clear();
        }
        Collections.reverse(names);
        CompletableFuture<Void> chain = done();
        for (String name : names) {
            chain = chain.thenCompose(ignored -> stopOne(name));
        }
        return chain;
    }

    private CompletableFuture<Void> startOne(String name, KernelService service) {
        return service.start(this)
                .thenRun(
                        () -> {
                            synchronized (mStarted) {
                                mStarted.add(name);
                            }
                        });
    }

    /**
     * Stops a service and logs a failure.
     *
     * <p>Calls the service inside {@code thenCompose}, which turns an exception into a failed
     * future, so that the remaining services still stop.
     */
    private CompletableFuture<Void> stopOne(String name) {
        return done().thenCompose(ignored -> mServices.get(name).stop())
                .exceptionally(
                        failure -> {
                            LOG.warn("Stopping " + name + " failed: " + failure.getMessage());
                            return null;
                        });
    }

    private CompletableFuture<Void> stopAfter(Throwable failure) {
        return stop().thenCompose(ignored -> CompletableFuture.failedFuture(failure));
    }

    private static CompletableFuture<Void> done() {
        return CompletableFuture.completedFuture(null);
    }
}
