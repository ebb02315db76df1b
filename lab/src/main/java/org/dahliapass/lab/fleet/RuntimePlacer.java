package org.dahliapass.lab.fleet;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.acceptance.LoadStatement;
import org.dahliapass.decisions.availability.AvailabilityStatement;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.limits.LimitStatement;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.model.Endpoint;
import org.dahliapass.traffic.ServiceRuntime;
import org.dahliapass.traffic.Slot;

/** A placer that runs the production algorithm. */
record RuntimePlacer(ServiceRuntime runtime) implements Placer<Slot> {
    @Override
    public CompletableFuture<Slot> acquire(SimulatedRequest<Slot> request) {
        return runtime.acquire(request, Set.of());
    }

    @Override
    public Optional<Slot> retry(SimulatedRequest<Slot> request, FailedAttempt failed) {
        return runtime.retry(request, failed, runtime::onChargeSent);
    }

    @Override
    public Optional<CompletableFuture<Slot>> requeue(
            SimulatedRequest<Slot> request, FailedAttempt failed) {
        return runtime.requeue(request, failed, runtime::onChargeSent);
    }

    @Override
    public long hedgeDelayMillis(RequestLoad load) {
        OptionalLong delay = runtime.hedgeDelayMillis(load.kind());
        return delay.orElse(-1);
    }

    @Override
    public Optional<Slot> hedge(SimulatedRequest<Slot> request, Slot running, Set<Endpoint> tried) {
        return runtime.hedge(request, running, tried, tried.size(), runtime::onChargeSent);
    }

    @Override
    public boolean tryReplaceLost(SimulatedRequest<Slot> request, Slot running) {
        return runtime.tryReplaceLost(request, running, 1, runtime::onChargeSent);
    }

    @Override
    public CompletableFuture<Slot> reacquire(SimulatedRequest<Slot> request, Set<Endpoint> tried) {
        return runtime.reacquire(request, tried);
    }

    @Override
    public Endpoint target(Slot slot) {
        return slot.target();
    }

    @Override
    public void onLimitStatement(Slot slot, LimitStatement statement) {
        runtime.onLimitStatement(slot, statement);
    }

    @Override
    public void onAvailabilityStatement(Slot slot, AvailabilityStatement statement) {
        runtime.onAvailabilityStatement(slot, statement);
    }

    @Override
    public void onLoadStatement(Slot slot, LoadStatement load) {
        runtime.onLoadStatement(slot, load);
    }

    @Override
    public void onRejected(Slot slot, LoadStatement load) {
        runtime.onRejected(slot, Optional.of(load));
    }

    @Override
    public void release(Slot slot, Outcome outcome, long latencyMillis) {
        runtime.release(slot, outcome, latencyMillis);
    }
}
