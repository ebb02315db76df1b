package org.dahliapass.decisions.health;

/** A sum of work: how many pieces went well, how many failed, how long the good ones took. */
final class Counts {
    int mSuccesses;
    int mFailures;

    /** Successes that are taken for granted; they count in {@link #allSuccesses} only. */
    int mAssumedSuccesses;

    double mLogSum;
    double mLogSquareSum;

    /** Returns the sums of two rows, either of which may be null for nothing. */
    static Counts[] sum(Counts[] one, Counts[] other) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        Counts[] sums = new Counts[one.length];
        for (int index = 0; index < sums.length; index++) {
            sums[index] = new Counts();
            sums[index].add(one[index]);
            sums[index].add(other[index]);
        }
        return sums;
    }

    void add(Counts other) {
        add(other.mSuccesses, other.mFailures, other.mLogSum, other.mLogSquareSum);
        mAssumedSuccesses += other.mAssumedSuccesses;
    }

    void add(int successes, int failures, double logSum, double logSquareSum) {
        mSuccesses += successes;
        mFailures += failures;
        mLogSum += logSum;
        mLogSquareSum += logSquareSum;
    }

    void subtract(Counts other) {
        add(-other.mSuccesses, -other.mFailures, -other.mLogSum, -other.mLogSquareSum);
        mAssumedSuccesses -= other.mAssumedSuccesses;
    }

    /** Adds successes of which no latency is known, until there are so many pieces of work. */
    void assumeSuccesses(int pieces) {
        mAssumedSuccesses += Math.max(0, pieces - total());
    }

    void clear() {
        mSuccesses = 0;
        mFailures = 0;
        mAssumedSuccesses = 0;
        mLogSum = 0;
        mLogSquareSum = 0;
    }

    int allSuccesses() {
        return mSuccesses + mAssumedSuccesses;
    }

    int total() {
        return allSuccesses() + mFailures;
    }

    double failureShare() {
        return total() == 0 ? 0 : (double) mFailures / total();
    }

    double meanLogLatency() {
        return mSuccesses == 0 ? 0 : mLogSum / mSuccesses;
    }
}
