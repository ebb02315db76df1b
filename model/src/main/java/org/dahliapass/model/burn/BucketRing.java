package org.dahliapass.model.burn;

import java.util.Arrays;

/** A ring buffer of outcome counts per time bucket, which overwrites the oldest bucket. */
final class BucketRing {
    private static final int OUTCOMES = Outcome.values().length;
    private static final int COUNTERS = OUTCOMES + 1;
    private static final long EMPTY = -1;

    private final long mBucketMillis;
    private final long[] mBucketNumbers;
    private final int[] mCounts;

    BucketRing(long bucketMillis, int size) {
        mBucketMillis = bucketMillis;
        mBucketNumbers = new long[size];
        mCounts = new int[size * COUNTERS];
        Arrays.fill(mBucketNumbers, EMPTY);
    }

    /** Counts one request; ignores a request that is older than the oldest bucket. */
    void add(Outcome outcome, boolean bad, long nowMillis) {
        long number = nowMillis / mBucketMillis;
        int slot = (int) (number % mBucketNumbers.length);
        if (number < mBucketNumbers[slot]) {
            return;
        }
        if (number > mBucketNumbers[slot]) {
            mBucketNumbers[slot] = number;
            Arrays.fill(mCounts, slot * COUNTERS, (slot + 1) * COUNTERS, 0);
        }
        mCounts[slot * COUNTERS + outcome.index()]++;
        mCounts[slot * COUNTERS + OUTCOMES] += bad ? 1 : 0;
    }

    /**
     * Visits each bucket with requests that starts in a time range.
     *
     * @param fromMillis the start of the range, inclusive
     * @param toMillis the end of the range, exclusive
     */
    void forEach(long fromMillis, long toMillis, BucketVisitor visitor) {
        for (int slot = 0; slot < mBucketNumbers.length; slot++) {
            long start = mBucketNumbers[slot] * mBucketMillis;
            if (mBucketNumbers[slot] != EMPTY && start >= fromMillis && start < toMillis) {
                visitor.visit(new Bucket(slot), start, mBucketMillis);
            }
        }
    }

    /** A callback for the buckets of a ring. */
    interface BucketVisitor {
        void visit(Bucket bucket, long startMillis, long bucketMillis);
    }

    /** A view of the counts of one bucket; valid only during the visit. */
    final class Bucket {
        private final int mSlot;

        private Bucket(int slot) {
            mSlot = slot;
        }

        int count(Outcome outcome) {
            return mCounts[mSlot * COUNTERS + outcome.index()];
        }

        int bad() {
            return mCounts[mSlot * COUNTERS + OUTCOMES];
        }
    }
}
