package org.dahliapass.lab.quickstart;

import java.util.Locale;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What became of the requests of one kind. */
final class ResultCounter {
    private static final long MOST_MICROS = 600_000_000L;
    private static final double MICROS_PER_MILLI = 1000.0;

    private final String mName;
    private final Histogram mMicros = new ConcurrentHistogram(MOST_MICROS, 3);
    private int mGood;
    private int mRefused;
    private int mFailed;
    private int mWrong;
    private String mFirstWrong = "";

    ResultCounter(String name) {
        mName = name;
    }

    synchronized void recordSuccess(long micros) {
        mGood++;
        mMicros.recordValue(Math.min(micros, MOST_MICROS));
    }

    synchronized void recordRejection() {
        mRefused++;
    }

    synchronized void recordFailure() {
        mFailed++;
    }

    synchronized int failures() {
        return mFailed;
    }

    synchronized void recordIncorrect(String what) {
        mWrong++;
        if (mFirstWrong.isEmpty()) {
            mFirstWrong = what;
        }
    }

    synchronized int incorrect() {
        return mWrong;
    }

    synchronized int successes() {
        return mGood;
    }

    synchronized String row() {
        return String.format(
                Locale.ROOT,
                "%-24s %8d %8d %8d %8d %10.2f %10.2f  %s",
                mName,
                mGood,
                mRefused,
                mFailed,
                mWrong,
                mMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                mMicros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                mFirstWrong);
    }

    static String header() {
        return String.format(
                Locale.ROOT,
                "%-24s %8s %8s %8s %8s %10s %10s",
                "kind",
                "good",
                "refused",
                "failed",
                "wrong",
                "p50 ms",
                "p99 ms");
    }
}
