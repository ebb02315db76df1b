package org.dahliapass.decisions.health;

/** Mutable sums of request outcomes and log latencies. */
final class Counts {
    int mSuccesses;
    int mFailures;

    /** Successes that are assumed but not observed; their latency is unknown. */
    int mAssumedSuccesses;

    double mLogLatencySum;
    double mLogLatencySquareSum;

    /** Returns the element-wise sums of two arrays, either of which may be null. */
    static Counts[] sum(Counts[] first, Counts[] second) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        Counts[] sums = new Counts[first.length];
        for (int index = 0; index < sums.length; index++) {
            sums[index] = new Counts();
            sums[index].add(first[index]);
            sums[index].add(second[index]);
        }
        return sums;
    }

    void add(Counts other) {
        add(other.mSuccesses, other.mFailures, other.mLogLatencySum, other.mLogLatencySquareSum);
        mAssumedSuccesses += other.mAssumedSuccesses;
    }

    void add(int successes, int failures, double logLatencySum, double logLatencySquareSum) {
        mSuccesses += successes;
        mFailures += failures;
        mLogLatencySum += logLatencySum;
        mLogLatencySquareSum += logLatencySquareSum;
    }

    void subtract(Counts other) {
        add(
                -other.mSuccesses,
                -other.mFailures,
                -other.mLogLatencySum,
                -other.mLogLatencySquareSum);
        mAssumedSuccesses -= other.mAssumedSuccesses;
    }

    /** Adds assumed successes until the total reaches a number of requests. */
    void assumeSuccesses(int requests) {
        mAssumedSuccesses += Math.max(0, requests - total());
    }

    void clear() {
        mSuccesses = 0;
        mFailures = 0;
        mAssumedSuccesses = 0;
        mLogLatencySum = 0;
        mLogLatencySquareSum = 0;
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
        return mSuccesses == 0 ? 0 : mLogLatencySum / mSuccesses;
    }
}
