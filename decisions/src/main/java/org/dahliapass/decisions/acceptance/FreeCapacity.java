package org.dahliapass.decisions.acceptance;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.dahliapass.model.Endpoint;

/**
 * Estimates how many slots of targets are free although attempts without a response count for them.
 *
 * <p>A target that hangs on a request may not execute it any more. The attempt is presumed lost by
 * its age and the state of its target, and doesn't count as a slot in use as far as the load that
 * the target states allows. Not thread-safe; guarded by the service's lock.
 *
 * @param <A> an attempt, compared by identity
 */
public final class FreeCapacity<A> {
    /** Above it an attempt is presumed lost. */
    private static final double MIN_LOSS_PROBABILITY = 0.9;

    /** An older statement no longer bounds the load, since other VMs send requests as well. */
    private static final long MAX_STATEMENT_AGE_MILLIS = 1_000;

    private final Map<Endpoint, TargetLoad> mTargets = new HashMap<>();

    private static <T> Set<T> newIdentitySet() {
        return Collections.newSetFromMap(new IdentityHashMap<>());
    }

    /** The attempts at one target, and the newest statement of its load. */
    private final class TargetLoad {
        private final Set<A> mAttempts = newIdentitySet();
        private final Set<A> mLost = newIdentitySet();
        private LoadStatement mStatement;
        private long mStatedMillis;
        private int mStartedSince;

        private boolean hasRecentStatement(long nowMillis) {
            return mStatement != null && nowMillis - mStatedMillis <= MAX_STATEMENT_AGE_MILLIS;
        }

        /** Returns the requests at the target by its statement. */
        private int stated() {
            return mStatement.running() + mStatement.waiting() + mStartedSince;
        }
    }

    private TargetLoad load(Endpoint target) {
        return mTargets.computeIfAbsent(target, unused -> new TargetLoad());
    }

    /** Records the start of an attempt. */
    public void onStarted(Endpoint target, A attempt) {
        TargetLoad load = load(target);
        load.mAttempts.add(attempt);
        load.mStartedSince++;
    }

    /** Records the end of an attempt, whatever its outcome. */
    public void onEnded(Endpoint target, A attempt) {
        TargetLoad load = mTargets.get(target);
        if (load != null) {
            load.mAttempts.remove(attempt);
            load.mLost.remove(attempt);
        }
    }

    /** Records what a response says of the load of its target. */
    public void onStatement(Endpoint target, LoadStatement statement, long nowMillis) {
        TargetLoad load = load(target);
        load.mStatement = statement;
        load.mStatedMillis = nowMillis;
        load.mStartedSince = 0;
    }

    /**
     * Decides anew which attempts are presumed lost; call it periodically.
     *
     * @param lossProbability returns the probability that an attempt will get no response
     */
    public void updateLost(ToDoubleFunction<A> lossProbability) {
        for (TargetLoad load : mTargets.values()) {
            load.mLost.clear();
            for (A attempt : load.mAttempts) {
                if (lossProbability.applyAsDouble(attempt) >= MIN_LOSS_PROBABILITY) {
                    load.mLost.add(attempt);
                }
            }
        }
    }

    /**
     * Returns how many of the requests that are counted at a target don't occupy a slot: at most
     * this VM's attempts that are presumed lost, and none without a statement of the target.
     *
     * @param counted the requests in flight to the target, of this VM and the others
     */
    public int recovered(Endpoint target, double counted, long nowMillis) {
        TargetLoad load = mTargets.get(target);
        if (load == null || load.mStatement == null) {
            return 0;
        }
        int lost = load.mLost.size();
        if (lost == 0 || !load.hasRecentStatement(nowMillis)) {
            return lost;
        }
        return (int) Math.max(0, Math.min(lost, Math.round(counted) - load.stated()));
    }

    /** Returns whether a target has just stated that nothing waits there and a slot is free. */
    public boolean statesFreeSlot(Endpoint target, long nowMillis) {
        TargetLoad load = mTargets.get(target);
        return load != null
                && load.hasRecentStatement(nowMillis)
                && load.mStatement.waiting() == 0
                && load.stated() < load.mStatement.slots();
    }

    /** Drops the statements of targets that restarted at their address. */
    public void forget(Collection<Endpoint> targets) {
        for (Endpoint target : targets) {
            TargetLoad load = mTargets.get(target);
            if (load != null) {
                load.mStatement = null;
            }
        }
    }

    /** Drops the targets that aren't in this set. */
    public void retain(Set<Endpoint> targets) {
        mTargets.keySet().retainAll(targets);
    }
}
