package org.dahliapass.lab.latency;

import org.HdrHistogram.Histogram;

/**
 * The latencies of all answers of one side at one rate; may be used by several threads.
 *
 * <p>Latency counts from the time at which the request should have been sent, so a generator or a
 * server that stalls is charged with every request that it held up (no coordinated omission).
 */
final class LatencyRecorder {
    private static final long HIGHEST_MICROS = 600_000_000;
    private static final int DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_MILLI = 1000.0;
    private static final double SUSTAINED_SHARE = 0.95;

    private final Histogram mMicros = new Histogram(HIGHEST_MICROS, DIGITS);
    private long mWrong;
    private long mPlannedNanos;
    private long mTakenNanos;

    /**
     * Takes an answer.
     *
     * @param latencyNanos from the intended sending to the whole answer
     * @param right whether it was the answer that was expected
     */
    synchronized void recordResponse(long latencyNanos, boolean right) {
        if (!right) {
            mWrong++;
            return;
        }
        mMicros.recordValue(Math.min(HIGHEST_MICROS, Math.max(0, latencyNanos / NANOS_PER_MICRO)));
    }

    /**
     * Takes the end of a block of requests.
     *
     * @param plannedNanos from the first to the last intended sending
     * @param takenNanos from the first intended sending to the last answer
     */
    synchronized void recordBatch(long plannedNanos, long takenNanos) {
        mPlannedNanos += plannedNanos;
        mTakenNanos += takenNanos;
    }

    /** Returns a percentile of the latency, in milliseconds; 0 if nothing was answered rightly. */
    synchronized double percentileMillis(double percentile) {
        return mMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Returns how many answers were right. */
    synchronized long successes() {
        return mMicros.getTotalCount();
    }

    /** Returns how many answers were wrong or missing. */
    synchronized long errors() {
        return mWrong;
    }

    /** Returns the right answers a second, over the time that the answers took. */
    synchronized double responsesPerSecond() {
        return mTakenNanos == 0 ? 0 : successes() * NANOS_PER_SECOND / mTakenNanos;
    }

    /** Returns whether all answers were right and came about as fast as they were asked for. */
    synchronized boolean isSustained() {
        return mWrong == 0 && mPlannedNanos >= SUSTAINED_SHARE * mTakenNanos;
    }
}
