package org.dahliapass.decisions.health;

import java.util.Arrays;

/** Sums of work over the last few equal spans of time; older ones fall out. */
final class CountRing {
    private final long mSpanMillis;
    private final Counts[] mBuckets;
    private final long[] mNumbers;

    CountRing(long spanMillis, int length) {
        mSpanMillis = spanMillis;
        mBuckets = new Counts[length];
        mNumbers = new long[length];
        Arrays.fill(mNumbers, Long.MIN_VALUE);
    }

    /** Returns the bucket of a moment, the present or shortly before, to be added to. */
    Counts bucket(long nowMillis) {
        long number = Math.floorDiv(nowMillis, mSpanMillis);
        int slot = (int) Math.floorMod(number, (long) mBuckets.length);
        if (mBuckets[slot] == null) {
            mBuckets[slot] = new Counts();
        }
        if (mNumbers[slot] != number) {
            mBuckets[slot].clear();
            mNumbers[slot] = number;
        }
        return mBuckets[slot];
    }

    /** Adds to {@code sum} the buckets that are {@code fromAge} up to {@code toAge} spans old. */
    void addTo(Counts sum, int fromAge, int toAge, long nowMillis) {
        long newest = Math.floorDiv(nowMillis, mSpanMillis);
        int slot = (int) Math.floorMod(newest - fromAge, (long) mBuckets.length);
        for (int age = fromAge; age < toAge; age++) {
            if (mNumbers[slot] == newest - age) {
                sum.add(mBuckets[slot]);
            }
            slot = slot == 0 ? mBuckets.length - 1 : slot - 1;
        }
    }
}
