package org.dahliapass.decisions.health;

/**
 * Spaces the regular evidence reports of one service so that they keep to a budget of bytes.
 *
 * <p>Guards against reports that grow with the targets, the cell and the load until control costs
 * more than work; it would show as a network full of evidence. Failures aren't paced, they are told
 * at once: only successes and requests in flight wait.
 */
public final class ReportPacer {
    private static final long MILLIS_PER_SECOND = 1000;

    private final long mBytesPerSecond;
    private final long mShortestMillis;
    private long mNextMillis = Long.MIN_VALUE;

    /**
     * Starts with a report due.
     *
     * @param bytesPerSecond what the reports of this service may cost, in bytes a second
     * @param shortestMillis the least time between two reports, in milliseconds
     */
    public ReportPacer(long bytesPerSecond, long shortestMillis) {
        mBytesPerSecond = bytesPerSecond;
        mShortestMillis = shortestMillis;
    }

    /** Returns whether the next regular report may be made. */
    public boolean isDue(long nowMillis) {
        return nowMillis >= mNextMillis;
    }

    /** Takes what a regular report cost, to all its receivers together. */
    public void onReported(long bytes, long nowMillis) {
        long paid = bytes * MILLIS_PER_SECOND / mBytesPerSecond;
        mNextMillis = nowMillis + Math.max(mShortestMillis, paid);
    }
}
