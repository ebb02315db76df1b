package org.dahliapass.decisions.traffic;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceId;

/**
 * Holds each customer to the rate that its template says, by a token bucket for each service and
 * kind.
 *
 * <p>Not safe for use by several threads: the caller guards each instance by a lock. A call costs
 * O(1).
 */
public final class RateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final int mCapacity;
    private final LinkedHashMap<BucketKey, Bucket> mBuckets = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Starts with all buckets full.
     *
     * @param capacity the most buckets that are kept
     */
    public RateLimiter(int capacity) {
        mCapacity = capacity;
    }

    /**
     * Takes a token for a request.
     *
     * @param customer the customer that sent it
     * @param service the service that it asks for
     * @param kind its kind
     * @param nowMillis the time, in milliseconds
     * @return empty if it may go on; else when there is a token, in milliseconds from now
     */
    public OptionalLong tryAcquire(
            String customer, ServiceId service, RequestKind kind, long nowMillis) {
        if (!(kind.ratePerSecond() > 0)) {
            return OptionalLong.empty();
        }
        BucketKey key = new BucketKey(customer, service, kind.name());
        Bucket bucket = mBuckets.get(key);
        if (bucket == null) {
            if (!makeRoom(nowMillis)) {
                return OptionalLong.of((long) MILLIS_PER_SECOND);
            }
            bucket = new Bucket(kind.ratePerSecond(), nowMillis);
            mBuckets.put(key, bucket);
        }
        bucket.refill(kind.ratePerSecond(), nowMillis);
        return bucket.take(kind.ratePerSecond());
    }

    /** Returns how many buckets are kept. */
    public int size() {
        return mBuckets.size();
    }

    /**
     * Makes room for one more bucket; false if there is none.
     *
     * <p>Guards against a customer that gets round its rate by filling the table so that its spent
     * bucket is dropped and comes back full. Only a bucket that would be full again is dropped, so
     * nothing is lost by it.
     */
    private boolean makeRoom(long nowMillis) {
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

    /** Tokens that come at a rate, a second's worth at most and never less than one. */
    private static final class Bucket {
        private double mTokens;
        private double mRatePerSecond;
        private long mAtMillis;

        private Bucket(double ratePerSecond, long nowMillis) {
            mTokens = most(ratePerSecond);
            mRatePerSecond = ratePerSecond;
            mAtMillis = nowMillis;
        }

        private static double most(double ratePerSecond) {
            return Math.max(1, ratePerSecond);
        }

        private void refill(double ratePerSecond, long nowMillis) {
            mTokens = Math.min(most(ratePerSecond), tokensAt(nowMillis));
            mRatePerSecond = ratePerSecond;
            mAtMillis = Math.max(mAtMillis, nowMillis);
        }

        private double tokensAt(long nowMillis) {
            long elapsedMillis = Math.max(0, nowMillis - mAtMillis);
            return mTokens + elapsedMillis * mRatePerSecond / MILLIS_PER_SECOND;
        }

        private boolean isFull(long nowMillis) {
            return tokensAt(nowMillis) >= most(mRatePerSecond);
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
