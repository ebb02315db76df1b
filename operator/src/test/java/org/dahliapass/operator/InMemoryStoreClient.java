package org.dahliapass.operator;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.platform.OutcomeUnknownException;
import org.dahliapass.registry.StoreClient;
import org.dahliapass.registry.StoredValue;
import org.dahliapass.registry.SwapResult;
import org.dahliapass.registry.WatchedValue;

/** An in-memory store that can lose the response to a swap of the head and become unavailable. */
final class InMemoryStoreClient implements StoreClient {
    private static final String HEAD = "head";

    private final Map<String, StoredValue> mValues = new HashMap<>();
    private long mIndex;
    private boolean mLoseHeadResponse;
    private boolean mUnavailableAfterLoss;
    private boolean mUnavailable;

    /** Makes the next swap of the head take effect but fail with an unknown outcome. */
    void loseNextHeadResponse(boolean thenUnavailable) {
        mLoseHeadResponse = true;
        mUnavailableAfterLoss = thenUnavailable;
    }

    void makeAvailable() {
        mUnavailable = false;
    }

    boolean isEmpty() {
        return mValues.isEmpty();
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> read(String key) {
        return mUnavailable
                ? CompletableFuture.failedFuture(
                        new OperationException("read", "store", "Unavailable."))
                : CompletableFuture.completedFuture(Optional.ofNullable(mValues.get(key)));
    }

    @Override
    public CompletableFuture<WatchedValue> watch(String key, long index, Duration wait) {
        return read(key).thenApply(value -> new WatchedValue(value, mIndex));
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, String value, long index) {
        if (mUnavailable) {
            return CompletableFuture.failedFuture(
                    new OperationException("swap", "store", "Unavailable."));
        }
        long current = mValues.containsKey(key) ? mValues.get(key).index() : ABSENT;
        if (current != index) {
            return CompletableFuture.completedFuture(SwapResult.CONFLICT);
        }
        mIndex++;
        mValues.put(key, new StoredValue(key, value, mIndex));
        if (mLoseHeadResponse && key.equals(HEAD)) {
            mLoseHeadResponse = false;
            mUnavailable = mUnavailableAfterLoss;
            return CompletableFuture.failedFuture(
                    new OutcomeUnknownException("swap", "store", "Response lost.", null));
        }
        return CompletableFuture.completedFuture(SwapResult.SWAPPED);
    }
}
