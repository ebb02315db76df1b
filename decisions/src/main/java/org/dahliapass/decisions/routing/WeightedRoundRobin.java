package org.dahliapass.decisions.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.model.routing.ServiceShare;

/**
 * Smooth weighted round robin over the services of each route.
 *
 * <p>Over any sequence of requests, the count of each service stays within one request of its
 * weight. The initial state is random, so that VMs that start together begin with different
 * services.
 *
 * <p>Not thread-safe.
 */
public final class WeightedRoundRobin {
    private final RandomGenerator mRandom;
    private final Map<String, RouteState> mStates = new HashMap<>();

    /** The current weights of one route's services, in the order of its shares. */
    private static final class RouteState {
        private final List<ServiceShare> mShares;
        private final double[] mCurrentWeights;

        private RouteState(List<ServiceShare> shares, double[] currentWeights) {
            mShares = shares;
            mCurrentWeights = currentWeights;
        }
    }

    /**
     * Creates a selector without any route.
     *
     * @param random the source of each route's initial state
     */
    public WeightedRoundRobin(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns the service for the next request on a route. */
    public String next(RouteRule route) {
        if (route.shares().size() == 1) {
            return route.shares().get(0).service();
        }
        RouteState state = mStates.get(route.name());
        if (state == null || !state.mShares.equals(route.shares())) {
            state = initialState(route.shares());
            mStates.put(route.name(), state);
        }
        return select(state);
    }

    /** Discards the state of all other routes. */
    public void retainRoutes(List<RouteRule> routes) {
        mStates.keySet().retainAll(routes.stream().map(RouteRule::name).toList());
    }

    private RouteState initialState(List<ServiceShare> shares) {
        double[] currentWeights = new double[shares.size()];
        for (int index = 0; index < currentWeights.length; index++) {
            currentWeights[index] = mRandom.nextDouble() * shares.get(index).weight();
        }
        return new RouteState(shares, currentWeights);
    }

    private static String select(RouteState state) {
        double total = 0;
        int best = 0;
        for (int index = 0; index < state.mCurrentWeights.length; index++) {
            double weight = state.mShares.get(index).weight();
            total += weight;
            state.mCurrentWeights[index] += weight;
            if (state.mCurrentWeights[index] > state.mCurrentWeights[best]) {
                best = index;
            }
        }
        state.mCurrentWeights[best] -= total;
        return state.mShares.get(best).service();
    }
}
