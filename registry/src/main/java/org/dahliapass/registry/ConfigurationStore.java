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

/** A typed client of the configuration store that runs {@link StoreProtocol}s against it. */
public final class ConfigurationStore {
    private final StoreClient mClient;
    private final Executor mDelayedExecutor;

    /**
     * Creates the store.
     *
     * @param retryPause the delay after a failed call or one with an unknown outcome
     */
    public ConfigurationStore(StoreClient client, Duration retryPause) {
        this(
                client,
                CompletableFuture.delayedExecutor(retryPause.toMillis(), TimeUnit.MILLISECONDS));
    }

    ConfigurationStore(StoreClient client, Executor retryExecutor) {
        mClient = client;
        mDelayedExecutor = retryExecutor;
    }

    /** Reads a key; fails with an {@link org.dahliapass.kernel.OperationException}. */
    public CompletableFuture<Optional<StoreItem>> read(StoreKey key) {
        return mClient.read(key.path()).thenApply(value -> decode(key, value));
    }

    /**
     * Runs a protocol to completion.
     *
     * @param observer called with each action before it is executed
     * @return the outcome; an unavailable store results in an outcome, not in a failure
     */
    public CompletableFuture<AcceptOutcome> run(
            StoreProtocol protocol, Consumer<StoreAction> observer) {
        return execute(protocol, protocol.start(), observer);
    }

    private CompletableFuture<AcceptOutcome> execute(
            StoreProtocol protocol, StoreAction action, Consumer<StoreAction> observer) {
        observer.accept(action);
        if (action instanceof StoreAction.Finish finish) {
            return CompletableFuture.completedFuture(finish.outcome());
        }
        CompletableFuture<StoreAction> next =
                action instanceof StoreAction.Read read
                        ? read(protocol, read)
                        : swap(protocol, (StoreAction.Swap) action);
        return next.thenCompose(nextAction -> execute(protocol, nextAction, observer));
    }

    private CompletableFuture<StoreAction> read(StoreProtocol protocol, StoreAction.Read read) {
        return mClient.read(read.key().path())
                .handle((value, failure) -> failure == null ? Optional.of(value) : unavailable())
                .thenCompose(
                        result ->
                                result.isPresent()
                                        ? CompletableFuture.completedFuture(
                                                onRead(protocol, read.key(), result.get()))
                                        : afterPause()
                                                .thenApply(ignored -> protocol.onReadFailed()));
    }

    private static Optional<Optional<StoredValue>> unavailable() {
        return Optional.empty();
    }

    private static StoreAction onRead(
            StoreProtocol protocol, StoreKey key, Optional<StoredValue> value) {
        long index = value.map(StoredValue::index).orElse(StoreClient.ABSENT);
        return protocol.onRead(decode(key, value), index);
    }

    private CompletableFuture<StoreAction> swap(StoreProtocol protocol, StoreAction.Swap swap) {
        return mClient.compareAndSwap(
                        swap.key().path(), ConfigurationCodec.encode(swap.item()), swap.index())
                .handle(ConfigurationStore::toSwapOutcome)
                .thenCompose(
                        outcome ->
                                isDefinite(outcome)
                                        ? CompletableFuture.completedFuture(
                                                protocol.onSwap(outcome))
                                        : afterPause()
                                                .thenApply(ignored -> protocol.onSwap(outcome)));
    }

    private static boolean isDefinite(SwapOutcome outcome) {
        return outcome == SwapOutcome.SWAPPED || outcome == SwapOutcome.CONFLICT;
    }

    private static SwapOutcome toSwapOutcome(SwapResult result, Throwable failure) {
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

    private CompletableFuture<Void> afterPause() {
        return CompletableFuture.runAsync(() -> {}, mDelayedExecutor);
    }

    private static Optional<StoreItem> decode(StoreKey key, Optional<StoredValue> value) {
        return value.map(found -> ConfigurationCodec.decode(key, found.value()));
    }
}
