package org.dahliapass.model.burn;

import java.util.Arrays;

/** Counts per span of time, for a fixed number of spans; newer spans overwrite the oldest. */
final class BucketRing {
    private static final int OUTCOMES = Outcome.values().length;
    private static final int COUNTERS = OUTCOMES + 1;
    private static final long EMPTY = -1;

    private final long mWidthMillis;
    private final long[] mNumbers;
    private final int[] mCounts;

    BucketRing(long widthMillis, int size) {
        mWidthMillis = widthMillis;
        mNumbers = new long[size];
        mCounts = new int[size * COUNTERS];
        Arrays.fill(mNumbers, EMPTY);
    }

    /** Counts one request; one that is older than the ring reaches is left out. */
    void add(Outcome outcome, boolean bad, long nowMillis) {
        long number = nowMillis / mWidthMillis;
        int slot = (int) (number % mNumbers.length);
        if (number < mNumbers[slot]) {
            return;
        }
        if (number > mNumbers[slot]) {
            mNumbers[slot] = number;
            Arrays.fill(mCounts, slot * COUNTERS, (slot + 1) * COUNTERS, 0);
        }
        mCounts[slot * COUNTERS + outcome.index()]++;
        mCounts[slot * COUNTERS + OUTCOMES] += bad ? 1 : 0;
    }

    /** Gives each span with requests that starts at or after one time and before another. */
    void forEach(long fromMillis, long toMillis, SpanVisitor visitor) {
        for (int slot = 0; slot < mNumbers.length; slot++) {
            long start = mNumbers[slot] * mWidthMillis;
            if (mNumbers[slot] != EMPTY && start >= fromMillis && start < toMillis) {
                visitor.visit(new Span(slot), start, mWidthMillis);
            }
        }
    }

    /** Takes one span. */
    interface SpanVisitor {
        void visit(Span span, long startMillis, long widthMillis);
    }

    /** The counts of one span; valid only while it is visited. */
    final class Span {
        private final int mSlot;

        private Span(int slot) {
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
