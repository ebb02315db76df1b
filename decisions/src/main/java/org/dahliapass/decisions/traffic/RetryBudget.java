package org.dahliapass.decisions.traffic;

import org.dahliapass.model.RequestKind;

/**
 * Counts what tries beyond the first a service may have: a share of its recent first tries.
 *
 * <p>Guards against retry storms: when targets fail for load, each failure would bring another try
 * and so more load. A share of first tries bounds the work added, however much fails. Not safe for
 * use by several threads: the caller guards it by the lock of its slot table. A call costs O(1).
 */
public final class RetryBudget {
    private static final int BUCKETS = 10;
    private static final long BUCKET_MILLIS = 1_000;

    /** So that a service with little traffic can have a retry at all. */
    private static final double MINIMUM = 2;

    private final double[] mEarned = new double[BUCKETS];
    private final int[] mSpent = new int[BUCKETS];
    private long mNewestBucket = Long.MIN_VALUE;

    /** Takes a first try, which earns its kind's share of a further try. */
    public void onFirstTry(RequestKind kind, long nowMillis) {
        mEarned[bucketAt(nowMillis)] += kind.retryShare();
    }

    /** Returns whether a further try may be spent. */
    public boolean hasLeft(long nowMillis) {
        bucketAt(nowMillis);
        double earned = MINIMUM;
        int spent = 0;
        for (int index = 0; index < BUCKETS; index++) {
            earned += mEarned[index];
            spent += mSpent[index];
        }
        return spent + 1 <= earned;
    }

    /** Spends a further try. */
    public void onFurtherTry(long nowMillis) {
        mSpent[bucketAt(nowMillis)]++;
    }

    /** Returns the index of the present bucket, after dropping those that left the window. */
    private int bucketAt(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        if (mNewestBucket == Long.MIN_VALUE) {
            mNewestBucket = bucket;
        }
        long first = Math.max(mNewestBucket + 1, bucket - BUCKETS + 1);
        for (long passed = first; passed <= bucket; passed++) {
            int index = (int) Math.floorMod(passed, (long) BUCKETS);
            mEarned[index] = 0;
            mSpent[index] = 0;
        }
        mNewestBucket = Math.max(mNewestBucket, bucket);
        return (int) Math.floorMod(mNewestBucket, (long) BUCKETS);
    }
}
