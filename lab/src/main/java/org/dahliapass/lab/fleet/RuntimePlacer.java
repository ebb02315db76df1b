package org.dahliapass.lab.fleet;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.model.Endpoint;
import org.dahliapass.traffic.ServiceRuntime;
import org.dahliapass.traffic.Slot;

/** The decisions that VMs run in production. */
record RuntimePlacer(ServiceRuntime runtime) implements Placer<Slot> {
    @Override
    public CompletableFuture<Slot> acquire(SimulatedRequest<Slot> attempt) {
        return runtime.acquire(attempt, Set.of());
    }

    @Override
    public Optional<Slot> retry(SimulatedRequest<Slot> attempt, FailedAttempt failed) {
        return runtime.retry(attempt, failed);
    }

    @Override
    public long hedgeDelayMillis(RequestLoad load) {
        OptionalLong delay = runtime.hedgeDelayMillis(load.kind());
        return delay.orElse(-1);
    }

    @Override
    public Optional<Slot> hedge(SimulatedRequest<Slot> attempt, Set<Endpoint> tried) {
        return runtime.hedge(attempt, tried);
    }

    @Override
    public Endpoint target(Slot place) {
        return place.target();
    }

    @Override
    public void release(Slot place, Outcome outcome, long tookMillis) {
        runtime.release(place, outcome, tookMillis);
    }
}
