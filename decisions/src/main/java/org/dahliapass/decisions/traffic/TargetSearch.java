package org.dahliapass.decisions.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * Searches targets for the entries that wait at one moment.
 *
 * <p>Entries that ask for the same share one search: while no target is free, a search for each
 * waiting customer would cost more than serving a request.
 */
final class TargetSearch {
    private final LoadBalancer mBalancer;
    private final Predicate<QueueEntry<?>> mIsAllowed;
    private final long mNowMillis;
    private final Set<Demand> mUnavailable = new HashSet<>();
    private final Set<Demand> mUnreliable = new HashSet<>();

    /**
     * Creates a search.
     *
     * @param isAllowed whether an entry may start if a target is free
     */
    TargetSearch(LoadBalancer balancer, Predicate<QueueEntry<?>> isAllowed, long nowMillis) {
        mBalancer = balancer;
        mIsAllowed = isAllowed;
        mNowMillis = nowMillis;
    }

    /** Returns a target that can take an entry; empty if there is none or its time is over. */
    Optional<Endpoint> find(QueueEntry<?> entry) {
        Demand demand = Demand.of(entry);
        Set<Demand> unavailable =
                mBalancer.mayAwaitBetter(entry, mNowMillis) ? mUnreliable : mUnavailable;
        boolean mayStart =
                entry.latestStartMillis() > mNowMillis
                        && mIsAllowed.test(entry)
                        && !unavailable.contains(demand);
        if (!mayStart) {
            return Optional.empty();
        }
        Optional<Endpoint> target = mBalancer.pick(entry, mNowMillis);
        if (target.isEmpty()) {
            unavailable.add(demand);
        }
        return target;
    }

    /** What an entry asks of a target. */
    record Demand(RequestKind kind, Set<Endpoint> excluded) {
        static Demand of(QueueEntry<?> entry) {
            return new Demand(entry.kind(), entry.excluded());
        }
    }
}
