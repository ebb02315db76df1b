package org.dahliapass.decisions.health;

/**
 * Paces the periodic evidence reports of one service to stay within a bandwidth budget.
 *
 * <p>Reports grow with the number of targets, the size of the cell and the load. Failures are
 * reported at once and are not paced.
 */
public final class ReportPacer {
    private static final long MILLIS_PER_SECOND = 1000;

    private final long mBytesPerSecond;
    private final long mMinIntervalMillis;
    private long mNextReportMillis = Long.MIN_VALUE;

    /**
     * Creates a pacer with a report due at once.
     *
     * @param bytesPerSecond the bandwidth budget of this service's reports, in bytes per second
     * @param minIntervalMillis the minimum time between two reports, in milliseconds
     */
    public ReportPacer(long bytesPerSecond, long minIntervalMillis) {
        mBytesPerSecond = bytesPerSecond;
        mMinIntervalMillis = minIntervalMillis;
    }

    /** Returns whether the next periodic report is due. */
    public boolean isDue(long nowMillis) {
        return nowMillis >= mNextReportMillis;
    }

    /**
     * Delays the next report by the cost of a report that was sent.
     *
     * @param bytes the size of the report times the number of its receivers
     */
    public void onReported(long bytes, long nowMillis) {
        long costMillis = bytes * MILLIS_PER_SECOND / mBytesPerSecond;
        mNextReportMillis = nowMillis + Math.max(mMinIntervalMillis, costMillis);
    }
}
