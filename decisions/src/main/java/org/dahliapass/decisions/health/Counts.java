package org.dahliapass.decisions.health;

/** A sum of work: how many pieces went well, how many failed, how long the good ones took. */
final class Counts {
    int mSuccesses;
    int mFailures;
    double mLogSum;
    double mLogSquareSum;

    void add(Counts other) {
        add(other.mSuccesses, other.mFailures, other.mLogSum, other.mLogSquareSum);
    }

    void add(int successes, int failures, double logSum, double logSquareSum) {
        mSuccesses += successes;
        mFailures += failures;
        mLogSum += logSum;
        mLogSquareSum += logSquareSum;
    }

    void subtract(Counts other) {
        add(-other.mSuccesses, -other.mFailures, -other.mLogSum, -other.mLogSquareSum);
    }

    void clear() {
        mSuccesses = 0;
        mFailures = 0;
        mLogSum = 0;
        mLogSquareSum = 0;
    }

    int total() {
        return mSuccesses + mFailures;
    }

    double failureShare() {
        return total() == 0 ? 0 : (double) mFailures / total();
    }

    double meanLog() {
        return mSuccesses == 0 ? 0 : mLogSum / mSuccesses;
    }
}
