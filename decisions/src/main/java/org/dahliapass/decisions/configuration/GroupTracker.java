package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/** Tracks which groups of customers this VM needs and which of them are complete. */
final class GroupTracker {
    private static final long NEVER = Long.MIN_VALUE;

    private static final class State {
        private boolean mComplete;
        private int mFetches;
        private long mIncompleteSinceMillis = NEVER;
    }

    private final FollowerSettings mSettings;
    private final FollowerPeers mPeers;
    private final Map<CustomerGroup, State> mStates = new LinkedHashMap<>();
    private long mNextFetchMillis = NEVER;

    GroupTracker(FollowerSettings settings, FollowerPeers peers) {
        mSettings = settings;
        mPeers = peers;
        mStates.put(CustomerGroup.PROVIDERS, new State());
    }

    /** Updates the needed groups from the fleet's services; returns the added ones. */
    List<CustomerGroup> refresh(Collection<ServiceId> services) {
        Set<CustomerGroup> needed = new HashSet<>();
        needed.add(CustomerGroup.PROVIDERS);
        services.stream().filter(mPeers::serves).map(CustomerGroup::of).forEach(needed::add);
        mStates.keySet().retainAll(needed);
        needed.removeAll(mStates.keySet());
        needed.forEach(group -> mStates.put(group, new State()));
        return List.copyOf(needed);
    }

    boolean contains(CustomerGroup group) {
        return mStates.containsKey(group);
    }

    boolean isComplete(CustomerGroup group) {
        return mStates.containsKey(group) && mStates.get(group).mComplete;
    }

    void markComplete(CustomerGroup group) {
        mStates.get(group).mComplete = true;
    }

    void resetAll() {
        mStates.replaceAll((group, state) -> new State());
    }

    List<CustomerGroup> incomplete() {
        List<CustomerGroup> incomplete = new ArrayList<>(mStates.keySet());
        incomplete.removeIf(this::isComplete);
        return incomplete;
    }

    /**
     * Returns the member to fetch the incomplete groups from, at most one per response timeout, so
     * that VMs without data don't query each other in a tight loop.
     */
    Optional<VmIdentity> nextSource(long nowMillis) {
        List<CustomerGroup> incomplete = incomplete();
        if (incomplete.isEmpty() || nowMillis < mNextFetchMillis) {
            return Optional.empty();
        }
        CustomerGroup group = leastFetched(incomplete);
        State state = mStates.get(group);
        List<VmIdentity> sources = mPeers.groupSources(group);
        state.mFetches++;
        mNextFetchMillis = nowMillis + mSettings.responseTimeoutMillis();
        return sources.isEmpty()
                ? Optional.empty()
                : Optional.of(sources.get((state.mFetches - 1) % sources.size()));
    }

    /**
     * Returns a group that no peer could provide and whose read from the store is due on this VM.
     */
    Optional<CustomerGroup> nextForStore(long nowMillis) {
        for (CustomerGroup group : incomplete()) {
            State state = mStates.get(group);
            if (state.mIncompleteSinceMillis == NEVER) {
                state.mIncompleteSinceMillis = nowMillis;
            }
            long delayMillis =
                    mSettings.responseTimeoutMillis()
                            + mPeers.storeRank(group) * mSettings.storeRankDelayMillis();
            if (state.mFetches >= mPeers.groupSources(group).size()
                    && nowMillis >= state.mIncompleteSinceMillis + delayMillis) {
                return Optional.of(group);
            }
        }
        return Optional.empty();
    }

    private CustomerGroup leastFetched(List<CustomerGroup> groups) {
        CustomerGroup least = groups.get(0);
        for (CustomerGroup group : groups) {
            if (mStates.get(group).mFetches < mStates.get(least).mFetches) {
                least = group;
            }
        }
        return least;
    }
}
