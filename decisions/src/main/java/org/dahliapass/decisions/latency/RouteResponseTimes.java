package org.dahliapass.decisions.latency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.dahliapass.model.RequestKind;

/**
 * The learned response times of the routes of one service.
 *
 * <p>A timeout counts as a longer response, by the probability that the attempt wasn't lost.
 * Cancelled attempts don't count. Not thread-safe; guarded by the service's lock.
 */
public final class RouteResponseTimes {
    private static final int MAX_ROUTES = 256;

    /** A route with fewer responses uses the distribution of its class. */
    private static final int MIN_RESPONSES = 10;

    /** About the last ten responses count. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** By the name of the class, least recently used first. */
    private final Map<String, Entry> mClasses = new LinkedHashMap<>(16, 0.75f, true);

    /** Least recently used first. */
    private final Map<Route, Entry> mRoutes = new LinkedHashMap<>(16, 0.75f, true);

    /** The response times of all routes; null before the first response. */
    private ResponseTimeDistribution mOfService;

    /** A route, by its class and path prefix. */
    private record Route(String className, String pathPrefix) {
        private static Route of(RequestKind kind) {
            return new Route(kind.name(), kind.pathPrefix());
        }
    }

    /** The response times of a route or a class. */
    private static final class Entry {
        private final ResponseTimeDistribution mDistribution;
        private double mMeanMillis;
        private int mCount;

        /** The responses that timeouts cut off. */
        private double mCutOff;

        private Entry(double expectedMillis) {
            mDistribution = new ResponseTimeDistribution(expectedMillis);
        }

        private void add(long responseMillis) {
            mCount++;
            mMeanMillis += (responseMillis - mMeanMillis) * Math.max(NEWEST_WEIGHT, 1.0 / mCount);
            mDistribution.add((double) responseMillis);
        }
    }

    /** Records the time of a complete response, in milliseconds. */
    public void add(RequestKind kind, long responseMillis) {
        routeEntry(kind).add(responseMillis);
        classEntry(kind).add(responseMillis);
        if (mOfService == null) {
            mOfService = new ResponseTimeDistribution(initialMillis(kind));
        }
        mOfService.add((double) responseMillis);
    }

    /** Returns the median over all routes in milliseconds; 0 before the first response. */
    public double serviceMedianMillis() {
        return mOfService == null ? 0 : mOfService.medianMillis();
    }

    /**
     * Records that a response of a route takes longer than its timeout, which counts for the route
     * only.
     *
     * @param weight the probability that a response would have arrived, from 0 to 1
     */
    public void addTimeout(RequestKind kind, long timeoutMillis, double weight) {
        Entry ofRoute = routeEntry(kind);
        ofRoute.mCutOff += weight;
        ofRoute.mDistribution.addLongerThan(timeoutMillis, weight);
    }

    /** Returns the distribution of the response times of a request's route. */
    public ResponseTimeDistribution distribution(RequestKind kind) {
        return entry(kind).mDistribution;
    }

    /** Returns the moving mean of the response times in milliseconds; 0 if none is known. */
    public double meanMillis(RequestKind kind) {
        Entry ofRoute = mRoutes.get(Route.of(kind));
        return ofRoute == null || ofRoute.mCount < MIN_RESPONSES
                ? classEntry(kind).mMeanMillis
                : ofRoute.mMeanMillis;
    }

    private Entry entry(RequestKind kind) {
        Entry ofRoute = mRoutes.get(Route.of(kind));
        return ofRoute == null || ofRoute.mCount + ofRoute.mCutOff < MIN_RESPONSES
                ? classEntry(kind)
                : ofRoute;
    }

    private Entry routeEntry(RequestKind kind) {
        Entry entry = mRoutes.get(Route.of(kind));
        if (entry == null) {
            Entry ofClass = classEntry(kind);
            entry = new Entry(ofClass.mCount == 0 ? initialMillis(kind) : ofClass.mMeanMillis);
            put(mRoutes, Route.of(kind), entry);
        }
        return entry;
    }

    private Entry classEntry(RequestKind kind) {
        Entry entry = mClasses.get(kind.name());
        if (entry == null) {
            entry = new Entry(initialMillis(kind));
            put(mClasses, kind.name(), entry);
        }
        return entry;
    }

    /** Returns the response time to expect while nothing is known. */
    private static double initialMillis(RequestKind kind) {
        return kind.lateAfter().toMillis() / 2.0;
    }

    private static <K> void put(Map<K, Entry> entries, K key, Entry entry) {
        entries.put(key, entry);
        if (entries.size() > MAX_ROUTES) {
            Iterator<K> leastRecentlyUsed = entries.keySet().iterator();
            leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
        }
    }

    /** Returns the number of routes with a distribution of their own. */
    int size() {
        return mRoutes.size();
    }
}
