package org.dahliapass.decisions.traffic;

/**
 * Tells whether the thread that serves callers has fallen behind for good.
 *
 * <p>Requests wait for that thread unseen, before any queue of ours: in the socket, until they are
 * read. A check that is due at a known time waits in the same line, so its lateness is the wait of
 * the requests. A short stall is made up by itself and refusing would cost callers more than it
 * saves; where no check was on time for a while, more work comes than the thread can do, and the
 * line grows until callers give up.
 *
 * <p>Not safe for use by several threads: the thread that is watched owns it.
 */
public final class ThreadOverloadDetector {
    /**
     * A check that is this late, in milliseconds, found a line: a tenth of the shortest objective
     * known is 60, and a single pause of the garbage collector is under 50.
     */
    private static final long LINE_MILLIS = 100;

    /**
     * How long no check may be on time, in milliseconds, before requests are refused: about half of
     * the shortest objective known, so that a refused caller has time to come back elsewhere.
     */
    private static final long BEHIND_MILLIS = 400;

    private long mDueMillis = Long.MAX_VALUE;
    private long mOnTimeMillis;

    /**
     * Takes that a check was asked for.
     *
     * @param dueMillis when it shall run
     * @param nowMillis the time; the thread is taken to be on time where no check was due before
     */
    public void onScheduled(long dueMillis, long nowMillis) {
        if (mDueMillis == Long.MAX_VALUE) {
            mOnTimeMillis = nowMillis;
        }
        mDueMillis = dueMillis;
    }

    /**
     * Takes that the check which was due runs now.
     *
     * @return how late it is, in milliseconds
     */
    public long onRun(long nowMillis) {
        long late = Math.max(0, nowMillis - mDueMillis);
        if (late < LINE_MILLIS) {
            mOnTimeMillis = nowMillis;
        }
        return late;
    }

    /** Takes that nothing is in flight any more, so that no check is due. */
    public void onIdle() {
        mDueMillis = Long.MAX_VALUE;
    }

    /**
     * Returns whether what comes now would wait in a line that the thread doesn't catch up with.
     */
    public boolean isOverloaded(long nowMillis) {
        return mDueMillis != Long.MAX_VALUE && nowMillis - mOnTimeMillis > BEHIND_MILLIS;
    }
}
