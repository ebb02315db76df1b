package org.dahliapass.decisions.traffic;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.dahliapass.model.RequestKind;

/**
 * Measures how long tries take, and so how fast this VM's slots come free.
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. Each
 * call costs O(1).
 */
public final class ServiceTimeEstimator {
    /** The newest time's weight in a moving mean: about the last ten tries count. */
    private static final double NEWEST_WEIGHT = 0.1;

    /**
     * While nothing comes free, at most this many slots are taken to come free in as long again.
     */
    private static final double HOPED_IN_STALL = 2;

    /** An answer is unusually late from this many times the mean on. */
    private static final double UNUSUAL_FACTOR = 2.2;

    /** Below this a pause of the VM itself would look like a late answer, in milliseconds. */
    private static final long LEAST_UNUSUAL_MILLIS = 150;

    private final Map<String, MovingMean> mAnswerByKind = new HashMap<>();
    private final Map<QueueLane, MovingMean> mHoldByLane = new EnumMap<>(QueueLane.class);
    private long mLastChangeMillis;

    /** Takes the start of a try: from then on the next end is waited for. */
    public void onAttemptStarted(long nowMillis) {
        mLastChangeMillis = nowMillis;
    }

    /**
     * Takes the end of a try.
     *
     * @param kind the request's kind
     * @param tookMillis how long it held its slot, in milliseconds
     * @param answered whether a whole answer came; else it says nothing of the kind's latency
     * @param nowMillis the time, in milliseconds
     */
    public void onAttemptEnded(
            RequestKind kind, long tookMillis, boolean answered, long nowMillis) {
        mLastChangeMillis = nowMillis;
        mHoldByLane.computeIfAbsent(holdLane(kind), unused -> new MovingMean()).add(tookMillis);
        if (answered) {
            mAnswerByKind.computeIfAbsent(kind.name(), unused -> new MovingMean()).add(tookMillis);
        }
    }

    /** Returns the mean time of a kind's latest answers in milliseconds; 0 while none is known. */
    public long meanMillis(RequestKind kind) {
        MovingMean mean = mAnswerByKind.get(kind.name());
        return mean == null ? 0 : Math.round(mean.mMean);
    }

    /**
     * Returns from how long on a missing answer of this kind is unusual, in milliseconds.
     *
     * <p>Times to answer are skewed: with the spread seen of work of this sort, a logarithmic
     * standard deviation of 0.8, about 7 in 100 sound answers take longer than this.
     */
    public long overdueAfterMillis(RequestKind kind) {
        long typical = meanMillis(kind);
        long known = typical == 0 ? kind.lateAfter().toMillis() / 2 : typical;
        return Math.max(LEAST_UNUSUAL_MILLIS, Math.round(known * UNUSUAL_FACTOR));
    }

    /**
     * Estimates how many slots come free a millisecond.
     *
     * <p>By Little's law from the slots in use and the mean time each is held, which holds also
     * right after an idle time, when a count of recent ends would tell too little. Guards against
     * targets that hang: no try ends, so the mean stays at its old low value while nothing comes
     * free; the rate is then held under what the time since the last change allows.
     *
     * @param slots the slots in use
     * @param nowMillis the time, in milliseconds
     * @return slots a millisecond; infinite while nothing is known
     */
    double slotReleasesPerMilli(SlotTable slots, long nowMillis) {
        int bulky = slots.ownBulkyInFlightTotal();
        double rate =
                rate(bulky, QueueLane.BULKY)
                        + rate(slots.ownInFlightTotal() - bulky, QueueLane.SHORT);
        return Math.min(rate, stallRate(nowMillis));
    }

    /** Estimates as {@code slotsFreedPerMilli}, for the slots that bulky requests hold. */
    double bulkySlotReleasesPerMilli(SlotTable slots, long nowMillis) {
        return Math.min(rate(slots.ownBulkyInFlightTotal(), QueueLane.BULKY), stallRate(nowMillis));
    }

    /** Guarded and short requests share their slots, so they share a mean. */
    private static QueueLane holdLane(RequestKind kind) {
        return kind.bulky() ? QueueLane.BULKY : QueueLane.SHORT;
    }

    private double stallRate(long nowMillis) {
        long stalledMillis = nowMillis - mLastChangeMillis;
        return stalledMillis <= 0 ? Double.POSITIVE_INFINITY : HOPED_IN_STALL / stalledMillis;
    }

    private double rate(int inFlight, QueueLane lane) {
        if (inFlight == 0) {
            return 0;
        }
        MovingMean mean = mHoldByLane.get(lane);
        return mean == null ? Double.POSITIVE_INFINITY : inFlight / Math.max(1, mean.mMean);
    }

    /** A mean in which older values fade. */
    private static final class MovingMean {
        private double mMean;
        private int mCount;

        private void add(long value) {
            mCount++;
            mMean += (value - mMean) * Math.max(NEWEST_WEIGHT, 1.0 / mCount);
        }
    }
}
