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

/** A store in memory that can lose the answer to a swap of the head and then stay away. */
final class InMemoryStoreClient implements StoreClient {
    private static final String HEAD = "head";

    private final Map<String, StoredValue> mValues = new HashMap<>();
    private long mIndex;
    private boolean mLoseHeadResponse;
    private boolean mUnavailableAfterLoss;
    private boolean mUnavailable;

    /** The next swap of the head takes effect, but its answer is lost. */
    void loseNextHeadResponse(boolean thenStayAway) {
        mLoseHeadResponse = true;
        mUnavailableAfterLoss = thenStayAway;
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
                ? CompletableFuture.failedFuture(new OperationException("read", "store", "Away."))
                : CompletableFuture.completedFuture(Optional.ofNullable(mValues.get(key)));
    }

    @Override
    public CompletableFuture<WatchedValue> watch(String key, long index, Duration wait) {
        return read(key).thenApply(value -> new WatchedValue(value, mIndex));
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, String value, long index) {
        if (mUnavailable) {
            return CompletableFuture.failedFuture(new OperationException("swap", "store", "Away."));
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
                    new OutcomeUnknownException("swap", "store", "Lost.", null));
        }
        return CompletableFuture.completedFuture(SwapResult.SWAPPED);
    }
}
