package org.dahliapass.decisions.traffic;

/**
 * Detects that the thread that serves callers is overloaded.
 *
 * <p>Requests wait for the thread in socket buffers, where no queue counts them. A scheduled check
 * waits with them, so its delay measures their wait. Short stalls are ignored; the thread is
 * overloaded if no check ran on time for a while.
 *
 * <p>Not thread-safe; confined to the monitored thread.
 */
public final class ThreadOverloadDetector {
    /**
     * A check with at least this delay is late, in milliseconds. A single garbage collection pause
     * takes less than 50.
     */
    private static final long LATE_MILLIS = 100;

    /**
     * The thread is overloaded if no check was on time for this long, in milliseconds. About half
     * of the shortest known latency objective, so that a refused caller has time to use another VM.
     */
    private static final long OVERLOAD_MILLIS = 400;

    private long mDueMillis = Long.MAX_VALUE;
    private long mLastOnTimeMillis;

    /**
     * Records that a check was scheduled.
     *
     * @param dueMillis when the check is due, in milliseconds
     * @param nowMillis the current time, in milliseconds; counts as on time if no check was
     *     scheduled before
     */
    public void onScheduled(long dueMillis, long nowMillis) {
        if (mDueMillis == Long.MAX_VALUE) {
            mLastOnTimeMillis = nowMillis;
        }
        mDueMillis = dueMillis;
    }

    /**
     * Records that the scheduled check runs now.
     *
     * @return its delay, in milliseconds
     */
    public long onRun(long nowMillis) {
        long delay = Math.max(0, nowMillis - mDueMillis);
        if (delay < LATE_MILLIS) {
            mLastOnTimeMillis = nowMillis;
        }
        return delay;
    }

    /** Records that nothing is in flight, so that no check is scheduled. */
    public void onIdle() {
        mDueMillis = Long.MAX_VALUE;
    }

    /** Returns whether the thread is overloaded, so that new requests should be refused. */
    public boolean isOverloaded(long nowMillis) {
        return mDueMillis != Long.MAX_VALUE && nowMillis - mLastOnTimeMillis > OVERLOAD_MILLIS;
    }
}
