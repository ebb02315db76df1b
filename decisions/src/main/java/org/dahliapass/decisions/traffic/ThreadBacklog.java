package org.dahliapass.decisions.traffic;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

/**
 * The requests that a thread has read but not started, in order of arrival, with an estimate of how
 * long a new one would wait.
 *
 * <p>A thread that starts each request as soon as it is read leaves the others in socket buffers,
 * where their number is unknown and their callers' disconnections go unnoticed. A thread that reads
 * all of them first can reject those that it can't start in time.
 *
 * <p>Not thread-safe; confined to the thread. All calls are O(1).
 *
 * @param <T> the caller's handle for a request
 */
public final class ThreadBacklog<T> {
    /** The share of the time that a request has which it may wait for the thread. */
    private static final double MAX_WAIT_SHARE = 0.5;

    /** The number of intervals between starts in the mean interval, about. */
    private static final int MAX_INTERVALS = 32;

    private final Queue<T> mEntries = new ArrayDeque<>();
    private double mMeanIntervalMillis;
    private int mIntervals;
    private long mLastStartMillis;
    private boolean mBusy;

    /** Adds a request that was read. */
    public void add(T entry) {
        mEntries.add(entry);
    }

    /** Removes and returns the request to start now; empty if there is none. */
    public Optional<T> next(long nowMillis) {
        T entry = mEntries.poll();
        if (entry == null) {
            return Optional.empty();
        }
        if (mBusy) {
            double interval = (double) nowMillis - mLastStartMillis;
            mIntervals = Math.min(mIntervals + 1, MAX_INTERVALS);
            mMeanIntervalMillis += (interval - mMeanIntervalMillis) / mIntervals;
        }
        mLastStartMillis = nowMillis;
        mBusy = !mEntries.isEmpty();
        return Optional.of(entry);
    }

    /** Returns the number of requests that wait. */
    public int size() {
        return mEntries.size();
    }

    /** Returns how long a new request would wait, in milliseconds. */
    public long expectedWaitMillis() {
        return Math.round(mEntries.size() * mMeanIntervalMillis);
    }

    /**
     * Returns whether a new request can be started in time.
     *
     * @param objectiveMillis the latency objective of the request, in milliseconds
     * @param remainingMillis the time until its deadline, in milliseconds
     */
    public boolean startsInTime(long objectiveMillis, long remainingMillis) {
        long availableMillis = Math.min(objectiveMillis, remainingMillis);
        return expectedWaitMillis() <= availableMillis * MAX_WAIT_SHARE;
    }
}
