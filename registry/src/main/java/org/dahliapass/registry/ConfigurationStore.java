package org.dahliapass.registry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dahliapass.decisions.configuration.AcceptOutcome;
import org.dahliapass.decisions.configuration.StoreAction;
import org.dahliapass.decisions.configuration.StoreItem;
import org.dahliapass.decisions.configuration.StoreKey;
import org.dahliapass.decisions.configuration.StoreProtocol;
import org.dahliapass.decisions.configuration.SwapOutcome;
import org.dahliapass.platform.OutcomeUnknownException;

/** Reads typed values of the configuration store and runs {@link StoreProtocol}s against it. */
public final class ConfigurationStore {
    private final StoreClient mClient;
    private final Executor mRetryExecutor;

    /**
     * Creates the store.
     *
     * @param retryPause how long a machine waits after a call without an answer
     */
    public ConfigurationStore(StoreClient client, Duration retryPause) {
        this(
                client,
                CompletableFuture.delayedExecutor(retryPause.toMillis(), TimeUnit.MILLISECONDS));
    }

    ConfigurationStore(StoreClient client, Executor retryExecutor) {
        mClient = client;
        mRetryExecutor = retryExecutor;
    }

    /** Reads a key; fails with a {@link org.dahliapass.kernel.OperationException}. */
    public CompletableFuture<Optional<StoreItem>> read(StoreKey key) {
        return mClient.read(key.path()).thenApply(value -> decode(key, value));
    }

    /**
     * Runs a machine to its end.
     *
     * @param observer is told each action before it is done
     * @return never fails for want of an answer, the outcome then says so
     */
    public CompletableFuture<AcceptOutcome> run(
            StoreProtocol machine, Consumer<StoreAction> observer) {
        return step(machine, machine.start(), observer);
    }

    private CompletableFuture<AcceptOutcome> step(
            StoreProtocol machine, StoreAction action, Consumer<StoreAction> observer) {
        observer.accept(action);
        if (action instanceof StoreAction.Finish finish) {
            return CompletableFuture.completedFuture(finish.outcome());
        }
        CompletableFuture<StoreAction> next =
                action instanceof StoreAction.Read read
                        ? read(machine, read)
                        : swap(machine, (StoreAction.Swap) action);
        return next.thenCompose(following -> step(machine, following, observer));
    }

    private CompletableFuture<StoreAction> read(StoreProtocol machine, StoreAction.Read read) {
        return mClient.read(read.key().path())
                .handle((value, failure) -> failure == null ? Optional.of(value) : noValue())
                .thenCompose(
                        answer ->
                                answer.isPresent()
                                        ? CompletableFuture.completedFuture(
                                                onRead(machine, read.key(), answer.get()))
                                        : later().thenApply(ignored -> machine.onReadFailed()));
    }

    private static Optional<Optional<StoredValue>> noValue() {
        return Optional.empty();
    }

    private static StoreAction onRead(
            StoreProtocol machine, StoreKey key, Optional<StoredValue> value) {
        long index = value.map(StoredValue::index).orElse(StoreClient.ABSENT);
        return machine.onRead(decode(key, value), index);
    }

    private CompletableFuture<StoreAction> swap(StoreProtocol machine, StoreAction.Swap swap) {
        return mClient.compareAndSwap(
                        swap.key().path(), ConfigurationCodec.encode(swap.item()), swap.index())
                .handle(ConfigurationStore::answer)
                .thenCompose(
                        answer ->
                                answered(answer)
                                        ? CompletableFuture.completedFuture(machine.onSwap(answer))
                                        : later().thenApply(ignored -> machine.onSwap(answer)));
    }

    private static boolean answered(SwapOutcome answer) {
        return answer == SwapOutcome.SWAPPED || answer == SwapOutcome.CONFLICT;
    }

    private static SwapOutcome answer(SwapResult result, Throwable failure) {
        if (failure == null) {
            return result == SwapResult.SWAPPED ? SwapOutcome.SWAPPED : SwapOutcome.CONFLICT;
        }
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause instanceof OutcomeUnknownException
                ? SwapOutcome.UNKNOWN
                : SwapOutcome.NOT_WRITTEN;
    }

    private CompletableFuture<Void> later() {
        return CompletableFuture.runAsync(() -> {}, mRetryExecutor);
    }

    private static Optional<StoreItem> decode(StoreKey key, Optional<StoredValue> value) {
        return value.map(found -> ConfigurationCodec.decode(key, found.value()));
    }
}
