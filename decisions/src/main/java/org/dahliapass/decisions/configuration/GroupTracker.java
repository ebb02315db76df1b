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

/** The groups of customers that this VM must know whole, and how far it got with each. */
final class GroupTracker {
    private static final long NEVER = Long.MIN_VALUE;

    private static final class State {
        private boolean mFilled;
        private int mAsked;
        private long mSinceMillis = NEVER;
    }

    private final FollowerSettings mSettings;
    private final FollowerPeers mPeers;
    private final Map<CustomerGroup, State> mStates = new LinkedHashMap<>();
    private long mNextAskMillis = NEVER;

    GroupTracker(FollowerSettings settings, FollowerPeers peers) {
        mSettings = settings;
        mPeers = peers;
        mStates.put(CustomerGroup.PROVIDERS, new State());
    }

    /** Takes the fleet's services; returns the groups that this VM must know from now on. */
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
        return mStates.containsKey(group) && mStates.get(group).mFilled;
    }

    void markComplete(CustomerGroup group) {
        mStates.get(group).mFilled = true;
    }

    void resetAll() {
        mStates.replaceAll((group, state) -> new State());
    }

    List<CustomerGroup> incomplete() {
        List<CustomerGroup> unfilled = new ArrayList<>(mStates.keySet());
        unfilled.removeIf(this::isComplete);
        return unfilled;
    }

    /**
     * Returns whom to ask next for what is unfilled.
     *
     * <p>Guards against VMs that know nothing and ask each other in a tight circle. It holds
     * because there is a pause after each question, answered or not.
     */
    Optional<VmIdentity> nextSource(long nowMillis) {
        List<CustomerGroup> unfilled = incomplete();
        if (unfilled.isEmpty() || nowMillis < mNextAskMillis) {
            return Optional.empty();
        }
        CustomerGroup group = leastAsked(unfilled);
        State state = mStates.get(group);
        List<VmIdentity> sources = mPeers.groupSources(group);
        state.mAsked++;
        mNextAskMillis = nowMillis + mSettings.responseTimeoutMillis();
        return sources.isEmpty()
                ? Optional.empty()
                : Optional.of(sources.get((state.mAsked - 1) % sources.size()));
    }

    /** Returns a group that no peer could fill and that it is this VM's turn to read. */
    Optional<CustomerGroup> nextForStore(long nowMillis) {
        for (CustomerGroup group : incomplete()) {
            State state = mStates.get(group);
            if (state.mSinceMillis == NEVER) {
                state.mSinceMillis = nowMillis;
            }
            long patience =
                    mSettings.responseTimeoutMillis()
                            + mPeers.storeRank(group) * mSettings.storeRankDelayMillis();
            if (state.mAsked >= mPeers.groupSources(group).size()
                    && nowMillis >= state.mSinceMillis + patience) {
                return Optional.of(group);
            }
        }
        return Optional.empty();
    }

    private CustomerGroup leastAsked(List<CustomerGroup> groups) {
        CustomerGroup least = groups.get(0);
        for (CustomerGroup group : groups) {
            if (mStates.get(group).mAsked < mStates.get(least).mAsked) {
                least = group;
            }
        }
        return least;
    }
}
