package org.dahliapass.decisions.reachability;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.Endpoint;

/**
 * Decides whether this VM is partitioned from all targets, whatever the state of single targets.
 *
 * <p>Only new connections are proof: a VM is partitioned once connections to several targets failed
 * and none was opened meanwhile, and one opened connection proves the opposite. Open connections
 * may hang, break or live on behind a partition, so they only raise a suspicion, which the caller
 * resolves by opening connections to targets that did not fail before.
 *
 * <p>Not thread-safe; confined to the traffic thread. Holds the attempts in flight and at most
 * {@link #MIN_FAILED_TARGETS} targets that failed.
 */
public final class ReachabilityDetector {
    /** Several targets may have crashed at once, but seldom all that are chosen at random. */
    static final int MIN_FAILED_TARGETS = 3;

    /** A single target may crash or hang. */
    private static final int MIN_SUSPICIOUS_TARGETS = 2;

    private static final long MIN_SILENCE_MILLIS = 300;

    /** A few percent of the responses of healthy targets take longer. */
    private static final double SILENCE_FACTOR = 2;

    /** About the last 20 responses count. */
    private static final double LATENCY_WEIGHT = 0.05;

    private final Map<Object, Pending> mPending = new LinkedHashMap<>();

    /** The targets to which no connection could be opened since one was opened last. */
    private final Set<Endpoint> mFailed = new HashSet<>();

    /** The targets whose connections broke since the last response. */
    private final Set<Endpoint> mBroken = new HashSet<>();

    private Reachability mState = Reachability.REACHED;
    private double mMeanLatencyMillis;
    private long mConnectedMillis = Long.MIN_VALUE / 2;
    private long mRespondedMillis = Long.MIN_VALUE / 2;

    /** An attempt without a response. */
    private record Pending(Endpoint target, long sentMillis) {}

    /** Returns the current state. */
    public Reachability state() {
        return mState;
    }

    /** Returns whether a connection to this target failed since one was opened last. */
    public boolean hasFailed(Endpoint target) {
        return mFailed.contains(target);
    }

    /**
     * Returns how many further targets have to fail before this VM counts as partitioned; at least
     * 1.
     */
    public int missingFailures() {
        return Math.max(1, MIN_FAILED_TARGETS - mFailed.size());
    }

    /** Records that a connection to a target was opened. */
    public void onConnected(long nowMillis) {
        mConnectedMillis = nowMillis;
        mFailed.clear();
        mBroken.clear();
        mState = Reachability.REACHED;
    }

    /**
     * Records that a connection to a target could not be opened.
     *
     * @param startedMillis when the attempt to open it began, in milliseconds; the failure proves
     *     nothing if another connection was opened since
     */
    public void onNotConnected(Endpoint target, long startedMillis) {
        if (startedMillis < mConnectedMillis) {
            return;
        }
        if (mFailed.size() < MIN_FAILED_TARGETS) {
            mFailed.add(target);
        }
        boolean isPartitioned = mFailed.size() >= MIN_FAILED_TARGETS;
        mState = isPartitioned ? Reachability.PARTITIONED : Reachability.SUSPECTED;
    }

    /** Records that a connection to a target broke before the response. */
    public void onBroken(Endpoint target) {
        mBroken.add(target);
        if (mBroken.size() >= MIN_SUSPICIOUS_TARGETS) {
            suspect();
        }
    }

    /**
     * Records that a request was written.
     *
     * @param attempt identifies the attempt
     */
    public void onSent(Object attempt, Endpoint target, long nowMillis) {
        mPending.put(attempt, new Pending(target, nowMillis));
    }

    /**
     * Records the head of a response.
     *
     * @param attempt identifies the attempt
     */
    public void onResponse(Object attempt, long nowMillis) {
        Pending pending = mPending.remove(attempt);
        mRespondedMillis = nowMillis;
        mBroken.clear();
        if (pending != null) {
            long latencyMillis = nowMillis - pending.sentMillis();
            mMeanLatencyMillis += (latencyMillis - mMeanLatencyMillis) * LATENCY_WEIGHT;
        }
    }

    /** Records the end of an attempt, whatever its outcome. */
    public void onEnded(Object attempt) {
        mPending.remove(attempt);
    }

    /** Ends a suspicion that can't be resolved, because there is no further target to check. */
    public void onNothingToCheck() {
        mFailed.clear();
        mBroken.clear();
        mState = Reachability.REACHED;
    }

    /**
     * Suspects a partition if several targets have been silent for long and none has responded or
     * accepted a connection meanwhile; to be called periodically while requests are in flight.
     */
    public void onTick(long nowMillis) {
        long limitMillis =
                Math.max(MIN_SILENCE_MILLIS, Math.round(SILENCE_FACTOR * mMeanLatencyMillis));
        long sinceMillis = nowMillis - limitMillis;
        if (mRespondedMillis > sinceMillis || mConnectedMillis > sinceMillis) {
            return;
        }
        long silentTargets =
                mPending.values().stream()
                        .filter(pending -> pending.sentMillis() <= sinceMillis)
                        .map(Pending::target)
                        .distinct()
                        .limit(MIN_SUSPICIOUS_TARGETS)
                        .count();
        if (silentTargets >= MIN_SUSPICIOUS_TARGETS) {
            suspect();
        }
    }

    /** Suspects a partition unless it is known already. */
    public void suspect() {
        if (mState == Reachability.REACHED) {
            mState = Reachability.SUSPECTED;
        }
    }
}
