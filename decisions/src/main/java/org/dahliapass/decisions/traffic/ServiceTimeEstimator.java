package org.dahliapass.decisions.traffic;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.dahliapass.decisions.latency.FixedResponseTimes;
import org.dahliapass.decisions.latency.ResponseTimeCurve;
import org.dahliapass.decisions.latency.RouteResponseTimes;
import org.dahliapass.model.RequestKind;

/**
 * Estimates response times by request kind, and the rate at which this VM's slots are released.
 *
 * <p>Not thread-safe; guarded by the service's lock.
 */
public final class ServiceTimeEstimator {
    /** About the last ten attempts count. */
    private static final double NEWEST_WEIGHT = 0.1;

    /**
     * The maximum number of slots expected to be released within the time since the last change.
     */
    private static final double MAX_RELEASES_IN_STALL = 2;

    /** About 7% of the responses of healthy targets take longer than this multiple of the mean. */
    private static final double OVERDUE_FACTOR = 2.2;

    /** Above a typical garbage collection pause of the VM. */
    private static final long MIN_OVERDUE_MILLIS = 150;

    private final Map<String, MovingMean> mResponseTimeByKind = new HashMap<>();
    private final Map<QueueLane, MovingMean> mHoldTimeByLane = new EnumMap<>(QueueLane.class);
    private final RouteResponseTimes mRoutes = new RouteResponseTimes();
    private final boolean mLearns;
    private long mLastChangeMillis;

    /** Creates an estimator with a response time distribution of a fixed shape. */
    public ServiceTimeEstimator() {
        this(TrafficPolicy.BASIC);
    }

    /**
     * Creates an estimator.
     *
     * @param policy whether the distributions of response times are learned
     */
    public ServiceTimeEstimator(TrafficPolicy policy) {
        mLearns = policy.learnsResponseTimes();
    }

    /** Records the start of an attempt. */
    public void onAttemptStarted(long nowMillis) {
        mLastChangeMillis = nowMillis;
    }

    /**
     * Records the end of an attempt.
     *
     * @param kind the request's kind
     * @param tookMillis how long it held its slot, in milliseconds
     * @param answered whether a complete response arrived; otherwise the time doesn't count for the
     *     kind's latency
     * @param nowMillis the current time, in milliseconds
     */
    public void onAttemptEnded(
            RequestKind kind, long tookMillis, boolean answered, long nowMillis) {
        mLastChangeMillis = nowMillis;
        mHoldTimeByLane.computeIfAbsent(holdLane(kind), unused -> new MovingMean()).add(tookMillis);
        if (answered) {
            mResponseTimeByKind
                    .computeIfAbsent(kind.name(), unused -> new MovingMean())
                    .add(tookMillis);
            if (mLearns) {
                mRoutes.add(kind, tookMillis);
            }
        }
    }

    /**
     * Records that an attempt timed out before it was reported as lost.
     *
     * @param ageMillis the time since it was sent, in milliseconds
     * @param answerProbability the probability that it would have got a response
     */
    void onTimeout(RequestKind kind, long ageMillis, double answerProbability) {
        if (mLearns) {
            mRoutes.addTimeout(kind, ageMillis, answerProbability);
        }
    }

    /**
     * Returns the median of the service's response times in milliseconds; 0 if none is known or
     * they aren't learned.
     */
    public double medianMillis() {
        return mRoutes.serviceMedianMillis();
    }

    /** Returns whether the distributions of response times are learned. */
    boolean learnsResponseTimes() {
        return mLearns;
    }

    /** Returns the moving mean of a kind's response times in milliseconds; 0 if none is known. */
    public long meanMillis(RequestKind kind) {
        if (mLearns) {
            return Math.round(mRoutes.meanMillis(kind));
        }
        MovingMean mean = mResponseTimeByKind.get(kind.name());
        return mean == null ? 0 : Math.round(mean.mMean);
    }

    /** Returns the distribution of the response times of healthy targets for this kind. */
    ResponseTimeCurve responseTimes(RequestKind kind) {
        if (mLearns) {
            return mRoutes.distribution(kind);
        }
        long mean = meanMillis(kind);
        long expected = mean == 0 ? kind.lateAfter().toMillis() / 2 : mean;
        return new FixedResponseTimes(
                Math.max(MIN_OVERDUE_MILLIS, Math.round(expected * OVERDUE_FACTOR)));
    }

    /**
     * Estimates the rate at which slots are released, in slots per millisecond.
     *
     * <p>Uses Little's law on the slots in use and their mean hold time. Since the mean doesn't
     * change while targets hang, the rate is bounded by the time since the last change.
     *
     * @param slots the slots in use
     * @param nowMillis the current time, in milliseconds
     * @return slots per millisecond; infinite if no hold time is known
     */
    double slotReleasesPerMilli(SlotTable slots, long nowMillis) {
        int bulky = slots.ownBulkyInFlightTotal();
        double rate =
                rate(bulky, QueueLane.BULKY)
                        + rate(slots.ownInFlightTotal() - bulky, QueueLane.SHORT);
        return Math.min(rate, stallRate(nowMillis));
    }

    /** Estimates the rate as {@code slotReleasesPerMilli} does, for the slots of bulky requests. */
    double bulkySlotReleasesPerMilli(SlotTable slots, long nowMillis) {
        return Math.min(rate(slots.ownBulkyInFlightTotal(), QueueLane.BULKY), stallRate(nowMillis));
    }

    /** At-most-once and short requests share their slots, so they share a mean. */
    private static QueueLane holdLane(RequestKind kind) {
        return kind.bulky() ? QueueLane.BULKY : QueueLane.SHORT;
    }

    private double stallRate(long nowMillis) {
        long stalledMillis = nowMillis - mLastChangeMillis;
        return stalledMillis <= 0
                ? Double.POSITIVE_INFINITY
                : MAX_RELEASES_IN_STALL / stalledMillis;
    }

    private double rate(int inFlight, QueueLane lane) {
        if (inFlight == 0) {
            return 0;
        }
        MovingMean mean = mHoldTimeByLane.get(lane);
        return mean == null ? Double.POSITIVE_INFINITY : inFlight / Math.max(1, mean.mMean);
    }

    /** An exponentially weighted moving mean. */
    private static final class MovingMean {
        private double mMean;
        private int mCount;

        private void add(long value) {
            mCount++;
            mMean += (value - mMean) * Math.max(NEWEST_WEIGHT, 1.0 / mCount);
        }
    }
}
