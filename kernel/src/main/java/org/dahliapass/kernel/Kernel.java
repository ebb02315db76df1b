package org.dahliapass.kernel;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Holds the services of one process by name, starts them in the order of registration and stops
 * them in the reverse order.
 *
 * <p>Registration ends before {@link #start()}; look-ups are safe from any thread after it.
 */
public final class Kernel {
    private static final ComponentLog LOG = ComponentLog.of("kernel");

    private final Map<String, KernelService> mServices = new LinkedHashMap<>();
    private final List<String> mStarted = new ArrayList<>();

    /**
     * Adds a service under a name.
     *
     * @throws IllegalStateException if the name is taken; register each service once
     */
    public Kernel register(String name, KernelService service) {
        if (mServices.putIfAbsent(name, service) != null) {
            throw new IllegalStateException(
                    "A service named '" + name + "' exists. Register each service once.");
        }
        return this;
    }

    /**
     * Finds a service by name.
     *
     * @throws IllegalStateException if there is none of that name and type
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
     * Starts all services one after another.
     *
     * @return fails with the first failure; the services started until then are stopped again
     */
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
        for (Map.Entry<String, KernelService> entry : mServices.entrySet()) {
            chain = chain.thenCompose(ignored -> startOne(entry.getKey(), entry.getValue()));
        }
        return chain.handle((ignored, failure) -> failure)
                .thenCompose(failure -> failure == null ? done() : stopAfter(failure));
    }

    /** Stops the started services in reverse order; a failure is logged and does not stop it. */
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
     * Guards against a service that throws instead of returning a failed future: the services below
     * it would never be stopped, which would show as requests cut off when the process exits. A
     * throw inside {@code thenCompose} becomes a failed future like any other.
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
