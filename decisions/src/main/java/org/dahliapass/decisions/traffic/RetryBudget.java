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

    /**
     * The share of what was earned that requests which may repeat can spend. With 18% earned and a
     * third of all requests of that sort, it allows a further try for a third of them.
     */
    private static final double SHARE_OF_READS = 0.7;

    private final double[] mEarned = new double[BUCKETS];
    private final int[] mSpent = new int[BUCKETS];
    private long mNewestBucket = Long.MIN_VALUE;

    /** Takes a first try, which earns its kind's share of a further try. */
    public void onFirstAttempt(RequestKind kind, long nowMillis) {
        mEarned[bucketAt(nowMillis)] += kind.retryShare();
    }

    /**
     * Returns whether a further try may be spent on a request of a kind.
     *
     * <p>Guards against hedges of reads that use up the budget in a calm moment, so that none is
     * left when targets begin to refuse: a read that is lost may be asked for again, a lock that is
     * refused keeps somebody from going on. Reads leave a part to requests that must not repeat.
     */
    public boolean hasRemaining(RequestKind kind, long nowMillis) {
        bucketAt(nowMillis);
        double earned = 0;
        int spent = 0;
        for (int index = 0; index < BUCKETS; index++) {
            earned += mEarned[index];
            spent += mSpent[index];
        }
        double usable = kind.idempotency().isRepeatable() ? earned * SHARE_OF_READS : earned;
        return spent + 1 <= MINIMUM + usable;
    }

    /** Spends a further try. */
    public void onExtraAttempt(long nowMillis) {
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
