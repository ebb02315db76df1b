package org.dahliapass.decisions.health;

/**
 * Outcome counts of one target, request kind and vantage point over windows of increasing length.
 *
 * <p>Short windows use fine buckets and long windows use coarse buckets, so the size of the state
 * does not depend on the request rate.
 */
final class WindowedCounts {
    static final int WINDOWS = 11;

    /** The index of the window of one second. */
    static final int ONE_SECOND = 4;

    /** The index of the window of two seconds. */
    static final int TWO_SECONDS = 5;

    /** The index of the window of eight seconds. */
    static final int EIGHT_SECONDS = 7;

    /** The index of the longest window. */
    static final int LONGEST_WINDOW = WINDOWS - 1;

    private static final long FINE_MILLIS = 50;
    private static final int[] FINE_WINDOWS = {1, 2, 4, 8, 20, 40};
    private static final long MEDIUM_MILLIS = 500;
    private static final int[] MEDIUM_WINDOWS = {8, 16, 32};
    private static final long COARSE_MILLIS = 4_000;
    private static final int[] COARSE_WINDOWS = {8, 16};

    private final CountRing mFine = new CountRing(FINE_MILLIS, 40);
    private final CountRing mMedium = new CountRing(MEDIUM_MILLIS, 32);
    private final CountRing mCoarse = new CountRing(COARSE_MILLIS, 16);

    /** Returns the length of the longest window in milliseconds. */
    static long longestWindowMillis() {
        return COARSE_WINDOWS[COARSE_WINDOWS.length - 1] * COARSE_MILLIS;
    }

    /** Returns a window's length in seconds if it is shorter than a second; otherwise 0. */
    static double fractionOfSecond(int window) {
        return window >= ONE_SECOND ? 0 : FINE_WINDOWS[window] * FINE_MILLIS / 1_000.0;
    }

    void add(
            int successes,
            int failures,
            double logLatencySum,
            double logLatencySquareSum,
            long nowMillis) {
        mFine.bucket(nowMillis).add(successes, failures, logLatencySum, logLatencySquareSum);
        mMedium.bucket(nowMillis).add(successes, failures, logLatencySum, logLatencySquareSum);
        mCoarse.bucket(nowMillis).add(successes, failures, logLatencySum, logLatencySquareSum);
    }

    /** Returns the counts of each window that ends now, the shortest window first. */
    Counts[] windows(long nowMillis) {
        Counts[] sums = new Counts[WINDOWS];
        fill(mFine, FINE_WINDOWS, sums, 0, nowMillis);
        fill(mMedium, MEDIUM_WINDOWS, sums, FINE_WINDOWS.length, nowMillis);
        fill(mCoarse, COARSE_WINDOWS, sums, FINE_WINDOWS.length + MEDIUM_WINDOWS.length, nowMillis);
        return sums;
    }

    private static void fill(
            CountRing ring, int[] lengths, Counts[] sums, int offset, long nowMillis) {
        Counts sum = new Counts();
        int age = 0;
        for (int index = 0; index < lengths.length; index++) {
            ring.addTo(sum, age, lengths[index], nowMillis);
            age = lengths[index];
            sums[offset + index] = new Counts();
            sums[offset + index].add(sum);
        }
    }
}
