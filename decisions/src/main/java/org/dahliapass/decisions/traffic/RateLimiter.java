package org.dahliapass.decisions.traffic;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceId;

/**
 * A rate limiter with a token bucket per customer, service and request kind; the rate comes from
 * the service's template.
 *
 * <p>Not thread-safe; guarded by the service's lock.
 */
public final class RateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final int mCapacity;
    private final LinkedHashMap<BucketKey, Bucket> mBuckets = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates a rate limiter.
     *
     * @param capacity the maximum number of buckets
     */
    public RateLimiter(int capacity) {
        mCapacity = capacity;
    }

    /**
     * Takes a token for a request if one is available.
     *
     * @param customer the customer that sent it
     * @param service the service that it is for
     * @param kind its kind
     * @param nowMillis the current time, in milliseconds
     * @return empty if a token was taken; otherwise the wait until one is available, in
     *     milliseconds
     */
    public OptionalLong tryAcquire(
            String customer, ServiceId service, RequestKind kind, long nowMillis) {
        if (!(kind.ratePerSecond() > 0)) {
            return OptionalLong.empty();
        }
        BucketKey key = new BucketKey(customer, service, kind.name());
        Bucket bucket = mBuckets.get(key);
        if (bucket == null) {
            if (!ensureCapacity(nowMillis)) {
                return OptionalLong.of((long) MILLIS_PER_SECOND);
            }
            bucket = new Bucket(kind.ratePerSecond(), nowMillis);
            mBuckets.put(key, bucket);
        }
        bucket.refill(kind.ratePerSecond(), nowMillis);
        return bucket.take(kind.ratePerSecond());
    }

    /** Returns the number of buckets. */
    public int size() {
        return mBuckets.size();
    }

    /**
     * Ensures capacity for another bucket; returns false if there is none.
     *
     * <p>Only a full bucket is evicted, so a customer can't reset its empty bucket by filling the
     * table.
     */
    private boolean ensureCapacity(long nowMillis) {
        if (mBuckets.size() < mCapacity) {
            return true;
        }
        Map.Entry<BucketKey, Bucket> eldest = mBuckets.entrySet().iterator().next();
        if (!eldest.getValue().isFull(nowMillis)) {
            return false;
        }
        mBuckets.remove(eldest.getKey());
        return true;
    }

    private record BucketKey(String customer, ServiceId service, String kind) {}

    /** A token bucket with a capacity of one second's tokens, and at least one. */
    private static final class Bucket {
        private double mTokens;
        private double mRatePerSecond;
        private long mUpdatedMillis;

        private Bucket(double ratePerSecond, long nowMillis) {
            mTokens = capacity(ratePerSecond);
            mRatePerSecond = ratePerSecond;
            mUpdatedMillis = nowMillis;
        }

        private static double capacity(double ratePerSecond) {
            return Math.max(1, ratePerSecond);
        }

        private void refill(double ratePerSecond, long nowMillis) {
            mTokens = Math.min(capacity(ratePerSecond), tokensAt(nowMillis));
            mRatePerSecond = ratePerSecond;
            mUpdatedMillis = Math.max(mUpdatedMillis, nowMillis);
        }

        private double tokensAt(long nowMillis) {
            long elapsedMillis = Math.max(0, nowMillis - mUpdatedMillis);
            return mTokens + elapsedMillis * mRatePerSecond / MILLIS_PER_SECOND;
        }

        private boolean isFull(long nowMillis) {
            return tokensAt(nowMillis) >= capacity(mRatePerSecond);
        }

        private OptionalLong take(double ratePerSecond) {
            if (mTokens >= 1) {
                mTokens--;
                return OptionalLong.empty();
            }
            double missing = 1 - mTokens;
            return OptionalLong.of((long) Math.ceil(missing / ratePerSecond * MILLIS_PER_SECOND));
        }
    }
}
