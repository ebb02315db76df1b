package org.dahliapass.model.burn;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * A bounded history of request outcomes over the last six hours.
 *
 * <p>The last five to ten minutes are kept in buckets of {@link #FINE_WIDTH}, older outcomes in
 * buckets of {@link #COARSE_WIDTH}. Each request kind in use takes about 5 KB of memory.
 *
 * <p>Thread-safe.
 */
public final class OutcomeHistory {
    /** The length of the buckets for recent outcomes. */
    public static final Duration FINE_WIDTH = Duration.ofSeconds(10);

    /** The length of the buckets for older outcomes. */
    public static final Duration COARSE_WIDTH = Duration.ofMinutes(5);

    /** How long outcomes are retained. */
    public static final Duration RETENTION = Duration.ofHours(6);

    private static final long FINE_MILLIS = FINE_WIDTH.toMillis();
    private static final long COARSE_MILLIS = COARSE_WIDTH.toMillis();
    private static final int FINE_BUCKETS = 60;
    private static final int COARSE_BUCKETS = (int) (RETENTION.toMillis() / COARSE_MILLIS) + 1;

    private final int mMaxSeries;
    private final Map<Key, Series> mSeries = new LinkedHashMap<>(16, 0.75f, true);
    private long mUncounted;

    /**
     * Creates an empty history.
     *
     * @param maxSeries the maximum number of triples of customer, service and kind; requests of
     *     further triples are only counted in {@link #uncounted()}
     */
    public OutcomeHistory(int maxSeries) {
        mMaxSeries = maxSeries;
    }

    /** Records one request; all outcomes except {@link Outcome#GOOD} consume the error budget. */
    public void record(
            String customer,
            String service,
            String kind,
            double objective,
            Outcome outcome,
            long nowMillis) {
        record(customer, service, kind, objective, outcome, outcome != Outcome.GOOD, nowMillis);
    }

    /**
     * Records one request.
     *
     * @param objective the service-level objective as a share of good requests, 0 to 1
     * @param bad whether the outcome consumes the error budget
     * @param nowMillis the time by the VM's clock, in milliseconds
     */
    public synchronized void record(
            String customer,
            String service,
            String kind,
            double objective,
            Outcome outcome,
            boolean bad,
            long nowMillis) {
        Key key = new Key(customer, service, kind);
        Series series = mSeries.get(key);
        if (series == null) {
            if (!ensureCapacity(nowMillis)) {
                mUncounted++;
                return;
            }
            series = new Series();
            mSeries.put(key, series);
        }
        series.mObjective = objective;
        series.mLastMillis = nowMillis;
        series.mFine.add(outcome, bad, nowMillis);
        series.mCoarse.add(outcome, bad, nowMillis);
    }

    /** Returns the number of requests that were not recorded because the history was full. */
    public synchronized long uncounted() {
        return mUncounted;
    }

    /** Returns all buckets with requests. */
    public List<ErrorBudgetBucket> buckets(long nowMillis) {
        return buckets(nowMillis, customer -> true);
    }

    /** Returns the buckets with requests of the customers that match a predicate. */
    public synchronized List<ErrorBudgetBucket> buckets(
            long nowMillis, Predicate<String> customers) {
        long oldestFine = (nowMillis / FINE_MILLIS - FINE_BUCKETS + 1) * FINE_MILLIS;
        long boundary = -Math.floorDiv(-oldestFine, COARSE_MILLIS) * COARSE_MILLIS;
        long oldestCoarse = (nowMillis / COARSE_MILLIS - COARSE_BUCKETS + 1) * COARSE_MILLIS;
        List<ErrorBudgetBucket> buckets = new ArrayList<>();
        mSeries.forEach(
                (key, series) -> {
                    if (customers.test(key.customer())) {
                        BucketRing.BucketVisitor collector =
                                (counts, start, width) ->
                                        buckets.add(bucket(key, series, counts, start, width));
                        series.mCoarse.forEach(oldestCoarse, boundary, collector);
                        series.mFine.forEach(boundary, Long.MAX_VALUE, collector);
                    }
                });
        return buckets;
    }

    /** Evicts the least recently used series if it expired; returns whether there is capacity. */
    private boolean ensureCapacity(long nowMillis) {
        if (mSeries.size() < mMaxSeries) {
            return true;
        }
        Iterator<Series> eldestFirst = mSeries.values().iterator();
        if (!eldestFirst.hasNext()
                || nowMillis - eldestFirst.next().mLastMillis <= RETENTION.toMillis()) {
            return false;
        }
        eldestFirst.remove();
        return true;
    }

    private static ErrorBudgetBucket bucket(
            Key key, Series series, BucketRing.Bucket counts, long startMillis, long widthMillis) {
        return new ErrorBudgetBucket(
                key.customer(),
                key.service(),
                key.kind(),
                series.mObjective,
                startMillis,
                widthMillis,
                counts.count(Outcome.GOOD),
                counts.count(Outcome.FAILED),
                counts.count(Outcome.REFUSED),
                counts.count(Outcome.UNKNOWN),
                counts.count(Outcome.LATE),
                counts.count(Outcome.CUT),
                counts.bad());
    }

    private record Key(String customer, String service, String kind) {}

    /** The outcome counts of one request kind. */
    private static final class Series {
        private final BucketRing mFine = new BucketRing(FINE_MILLIS, FINE_BUCKETS);
        private final BucketRing mCoarse = new BucketRing(COARSE_MILLIS, COARSE_BUCKETS);
        private double mObjective;
        private long mLastMillis;
    }
}
