package org.dahliapass.model.burn;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Remembers how requests ended, for six hours and in bounded memory.
 *
 * <p>The last five to ten minutes are kept in spans of {@link #FINE_WIDTH}, older ones in spans of
 * {@link #COARSE_WIDTH}. Memory is at most about 5 KB for each request kind in use. Safe from any
 * thread: traffic threads record, one short step under a lock.
 */
public final class OutcomeHistory {
    /** The length of a newer span. */
    public static final Duration FINE_WIDTH = Duration.ofSeconds(10);

    /** The length of an older span. */
    public static final Duration COARSE_WIDTH = Duration.ofMinutes(5);

    /** How far back the ledger reaches. */
    public static final Duration RETENTION = Duration.ofHours(6);

    private static final long FINE_MILLIS = FINE_WIDTH.toMillis();
    private static final long COARSE_MILLIS = COARSE_WIDTH.toMillis();
    private static final int FINE_SPANS = 60;
    private static final int COARSE_SPANS = (int) (RETENTION.toMillis() / COARSE_MILLIS) + 1;

    private final int mMostSeries;
    private final Map<Key, Series> mSeries = new LinkedHashMap<>(16, 0.75f, true);
    private long mUncounted;

    /**
     * Creates an empty ledger.
     *
     * @param mostSeries how many triples of customer, service and kind it remembers at most;
     *     further ones are left out and counted in {@link #uncounted()}
     */
    public OutcomeHistory(int mostSeries) {
        mMostSeries = mostSeries;
    }

    /** Counts one request; all that isn't {@link Outcome#GOOD} counts against the objective. */
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
     * Counts one request.
     *
     * @param objective the share of requests that shall be good
     * @param bad whether the outcome counts against the objective
     * @param nowMillis the VM's time
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
            if (!makeRoom(nowMillis)) {
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

    /** Returns how many requests were left out because the ledger was full. */
    public synchronized long uncounted() {
        return mUncounted;
    }

    /** Returns all spans with requests. */
    public List<ErrorBudgetBucket> buckets(long nowMillis) {
        return buckets(nowMillis, customer -> true);
    }

    /** Returns the spans with requests of the customers that are asked for. */
    public synchronized List<ErrorBudgetBucket> buckets(
            long nowMillis, Predicate<String> customers) {
        long oldestFine = (nowMillis / FINE_MILLIS - FINE_SPANS + 1) * FINE_MILLIS;
        long boundary = -Math.floorDiv(-oldestFine, COARSE_MILLIS) * COARSE_MILLIS;
        long oldestCoarse = (nowMillis / COARSE_MILLIS - COARSE_SPANS + 1) * COARSE_MILLIS;
        List<ErrorBudgetBucket> buckets = new ArrayList<>();
        mSeries.forEach(
                (key, series) -> {
                    if (customers.test(key.customer())) {
                        BucketRing.SpanVisitor collector =
                                (span, start, width) ->
                                        buckets.add(bucket(key, series, span, start, width));
                        series.mCoarse.forEach(oldestCoarse, boundary, collector);
                        series.mFine.forEach(boundary, Long.MAX_VALUE, collector);
                    }
                });
        return buckets;
    }

    /** Forgets the series used longest ago if it is out of reach; returns whether there is room. */
    private boolean makeRoom(long nowMillis) {
        if (mSeries.size() < mMostSeries) {
            return true;
        }
        Iterator<Series> oldestFirst = mSeries.values().iterator();
        if (!oldestFirst.hasNext()
                || nowMillis - oldestFirst.next().mLastMillis <= RETENTION.toMillis()) {
            return false;
        }
        oldestFirst.remove();
        return true;
    }

    private static ErrorBudgetBucket bucket(
            Key key, Series series, BucketRing.Span span, long startMillis, long widthMillis) {
        return new ErrorBudgetBucket(
                key.customer(),
                key.service(),
                key.kind(),
                series.mObjective,
                startMillis,
                widthMillis,
                span.count(Outcome.GOOD),
                span.count(Outcome.FAILED),
                span.count(Outcome.REFUSED),
                span.count(Outcome.UNKNOWN),
                span.count(Outcome.LATE),
                span.count(Outcome.CUT),
                span.bad());
    }

    private record Key(String customer, String service, String kind) {}

    /** The counts of one request kind. */
    private static final class Series {
        private final BucketRing mFine = new BucketRing(FINE_MILLIS, FINE_SPANS);
        private final BucketRing mCoarse = new BucketRing(COARSE_MILLIS, COARSE_SPANS);
        private double mObjective;
        private long mLastMillis;
    }
}
