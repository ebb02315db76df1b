package org.dahliapass.decisions.health;

import java.util.Arrays;

/** A ring buffer of outcome counts over the most recent time buckets of equal length. */
final class CountRing {
    private final long mBucketMillis;
    private final Counts[] mBuckets;
    private final long[] mBucketNumbers;

    CountRing(long bucketMillis, int size) {
        mBucketMillis = bucketMillis;
        mBuckets = new Counts[size];
        mBucketNumbers = new long[size];
        Arrays.fill(mBucketNumbers, Long.MIN_VALUE);
    }

    /** Returns the mutable bucket of a time that is at most the length of the ring ago. */
    Counts bucket(long nowMillis) {
        long number = Math.floorDiv(nowMillis, mBucketMillis);
        int slot = (int) Math.floorMod(number, (long) mBuckets.length);
        if (mBuckets[slot] == null) {
            mBuckets[slot] = new Counts();
        }
        if (mBucketNumbers[slot] != number) {
            mBuckets[slot].clear();
            mBucketNumbers[slot] = number;
        }
        return mBuckets[slot];
    }

    /** Adds the buckets aged {@code fromAge} (inclusive) to {@code toAge} (exclusive) to a sum. */
    void addTo(Counts sum, int fromAge, int toAge, long nowMillis) {
        long newest = Math.floorDiv(nowMillis, mBucketMillis);
        int slot = (int) Math.floorMod(newest - fromAge, (long) mBuckets.length);
        for (int age = fromAge; age < toAge; age++) {
            if (mBucketNumbers[slot] == newest - age) {
                sum.add(mBuckets[slot]);
            }
            slot = slot == 0 ? mBuckets.length - 1 : slot - 1;
        }
    }
}
