package org.dahliapass.decisions.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.ServiceShare;

/**
 * Chooses the service of a request by the weights of its route, evenly also over short spans.
 *
 * <p>Each service of a route gains credit by its weight with each request, and the one with the
 * most credit is chosen and pays for all: over any span the counts stay within one request of the
 * weights, where independent draws would be off by several in a hundred over 300 requests. The
 * credits begin at random places, so that VMs that start together don't all begin with one service.
 *
 * <p>Not safe for use by several threads.
 */
public final class WeightedRoundRobin {
    private final RandomGenerator mRandom;
    private final Map<String, Credits> mCredits = new HashMap<>();

    /** The credits of one route's services, in the order of its shares. */
    private static final class Credits {
        private final List<ServiceShare> mShares;
        private final double[] mValues;

        private Credits(List<ServiceShare> shares, double[] values) {
            mShares = shares;
            mValues = values;
        }
    }

    /** Starts without any route; draws where each route's credits begin. */
    public WeightedRoundRobin(RandomGenerator random) {
        mRandom = random;
    }

    /** Chooses the service for the next request on a route. */
    public String next(RouteRule route) {
        if (route.shares().size() == 1) {
            return route.shares().get(0).service();
        }
        Credits credits = mCredits.get(route.name());
        if (credits == null || !credits.mShares.equals(route.shares())) {
            credits = begin(route.shares());
            mCredits.put(route.name(), credits);
        }
        return choose(credits);
    }

    /** Forgets the routes that aren't among these. */
    public void retainRoutes(List<RouteRule> routes) {
        mCredits.keySet().retainAll(routes.stream().map(RouteRule::name).toList());
    }

    private Credits begin(List<ServiceShare> shares) {
        double[] values = new double[shares.size()];
        for (int index = 0; index < values.length; index++) {
            values[index] = mRandom.nextDouble() * shares.get(index).weight();
        }
        return new Credits(shares, values);
    }

    private static String choose(Credits credits) {
        double total = 0;
        int best = 0;
        for (int index = 0; index < credits.mValues.length; index++) {
            double weight = credits.mShares.get(index).weight();
            total += weight;
            credits.mValues[index] += weight;
            if (credits.mValues[index] > credits.mValues[best]) {
                best = index;
            }
        }
        credits.mValues[best] -= total;
        return credits.mShares.get(best).service();
    }
}
