package org.dahliapass.decisions.health;

import java.util.ArrayDeque;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Target;

/** The life of one target as one VM sees it: its state, since when, and what it may carry. */
final class TargetRecord {
    /** The weight with which a target begins again. */
    private static final double FIRST_WEIGHT = 0.1;

    /** The least share that a failing target keeps while the floor holds it in service. */
    private static final double LEAST_HELD_WEIGHT = 0.05;

    /** A target must be slow for so long before it counts as a straggler; pauses are shorter. */
    private static final long SLOW_MILLIS = 4_000;

    /** Good work that a returned target must have done before it carries guarded work. */
    private static final int PROVING_SUCCESSES = 10;

    private static final long FLAP_WINDOW_MILLIS = 600_000;
    private static final int HIGHEST_DOUBLINGS = 5;

    /** A health report that lags may still say "serving" of a target that has said it stops. */
    private static final long LEAVING_HOLD_MILLIS = 30_000;

    private static final long LONGEST_COLD_MILLIS = 60_000;
    private static final long COLD_AGAIN_MILLIS = 600_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Target mTarget;
    private final ArrayDeque<Long> mEjections = new ArrayDeque<>();
    private final ArrayDeque<Long> mAvoidances = new ArrayDeque<>();
    private TargetState mState;
    private long mSinceMillis;
    private long mReturnAtMillis;
    private long mLastSuccessMillis = NEVER;
    private long mLastLeavingMillis = NEVER;
    private long mColdSinceMillis = NEVER;
    private long mLastFailedProbeMillis = NEVER;
    private int mSuccessesSinceReturn;
    private boolean mHeld;
    private double mHeldWeight = 1;
    private long mSlowSinceMillis = NEVER;
    private double mSpeedWeight = 1;
    private double mReportedLoad;

    TargetRecord(Target target, TargetState state, long nowMillis) {
        mTarget = target;
        mState = state;
        mSinceMillis = nowMillis;
    }

    Target target() {
        return mTarget;
    }

    TargetState state() {
        return mState;
    }

    boolean isHeld() {
        return mHeld;
    }

    /** Keeps it in service though it fails a share of its work: it gets less of it. */
    void hold(double failureShare) {
        mHeld = true;
        mHeldWeight = Math.max(LEAST_HELD_WEIGHT, 1 - failureShare);
    }

    void endHold() {
        mHeld = false;
        mHeldWeight = 1;
    }

    /** Notes whether it is slow now; returns whether it has been for long enough to count. */
    boolean isStraggler(boolean slow, long nowMillis) {
        if (!slow) {
            mSlowSinceMillis = NEVER;
            return false;
        }
        if (mSlowSinceMillis == NEVER) {
            mSlowSinceMillis = nowMillis;
        }
        return nowMillis - mSlowSinceMillis >= SLOW_MILLIS;
    }

    double speedWeight() {
        return mSpeedWeight;
    }

    void setSpeedWeight(double weight) {
        mSpeedWeight = weight;
    }

    void setReportedLoad(double load) {
        mReportedLoad = load;
    }

    long returnAtMillis() {
        return mReturnAtMillis;
    }

    void recordSuccesses(int count, long nowMillis) {
        if (count > 0) {
            mLastSuccessMillis = nowMillis;
            mSuccessesSinceReturn += count;
        }
    }

    void recordFailedProbe(long nowMillis) {
        mLastFailedProbeMillis = nowMillis;
    }

    boolean probeFailedWithin(long millis, long nowMillis) {
        return nowMillis - mLastFailedProbeMillis <= millis;
    }

    boolean succeededWithin(long millis, long nowMillis) {
        return nowMillis - mLastSuccessMillis <= millis;
    }

    /** Takes the target out for a time that is doubled for each earlier such time in the window. */
    void takeOut(TargetState state, long baseMillis, long nowMillis) {
        ArrayDeque<Long> earlier = state == TargetState.EJECTED ? mEjections : mAvoidances;
        while (!earlier.isEmpty() && nowMillis - earlier.peekFirst() > FLAP_WINDOW_MILLIS) {
            earlier.removeFirst();
        }
        int doublings = Math.min(earlier.size(), HIGHEST_DOUBLINGS);
        earlier.addLast(nowMillis);
        mReturnAtMillis = nowMillis + (baseMillis << doublings);
        enter(state, nowMillis);
    }

    void postponeReturn(long millis, long nowMillis) {
        mReturnAtMillis = nowMillis + millis;
    }

    void beginSlowStart(long nowMillis) {
        mSuccessesSinceReturn = 0;
        enter(TargetState.RETURNING, nowMillis);
    }

    void activate(long nowMillis) {
        enter(TargetState.ACTIVE, nowMillis);
    }

    /** Returns whether this is the first sign that it stops. */
    boolean markLeaving(long nowMillis) {
        mLastLeavingMillis = nowMillis;
        if (mState == TargetState.LEAVING) {
            return false;
        }
        enter(TargetState.LEAVING, nowMillis);
        return true;
    }

    /** Returns whether a report that it works again can be believed. */
    boolean canReturnFromLeaving(long nowMillis) {
        return mState == TargetState.LEAVING
                && nowMillis - mLastLeavingMillis >= LEAVING_HOLD_MILLIS;
    }

    /** Returns whether a report that it is starting may be believed: once in a while only. */
    boolean canBecomeCold(long nowMillis) {
        return nowMillis - mColdSinceMillis > COLD_AGAIN_MILLIS
                && (mState == TargetState.ACTIVE
                        || mState == TargetState.RETURNING
                        || canReturnFromLeaving(nowMillis));
    }

    void becomeCold(long nowMillis) {
        mColdSinceMillis = nowMillis;
        enter(TargetState.COLD, nowMillis);
    }

    boolean isColdTimedOut(long nowMillis) {
        return mState == TargetState.COLD && nowMillis - mSinceMillis > LONGEST_COLD_MILLIS;
    }

    boolean isSlowStartOver(DetectionPolicy policy, long nowMillis) {
        return nowMillis - mSinceMillis >= policy.slowStart().toMillis();
    }

    TargetStatus status(DetectionPolicy policy, long nowMillis) {
        return new TargetStatus(
                mTarget, mState, weight(policy, nowMillis), mayCarryGuarded(), mReportedLoad);
    }

    private boolean mayCarryGuarded() {
        if (mHeld) {
            return false;
        }
        return mState == TargetState.ACTIVE
                || (mState == TargetState.RETURNING && mSuccessesSinceReturn >= PROVING_SUCCESSES);
    }

    private double weight(DetectionPolicy policy, long nowMillis) {
        if (!mState.receivesRequests()) {
            return 0;
        }
        if (mState == TargetState.COLD) {
            return FIRST_WEIGHT;
        }
        double weight = mSpeedWeight * mHeldWeight;
        return mState == TargetState.ACTIVE ? weight : weight * ramp(policy, nowMillis);
    }

    private double ramp(DetectionPolicy policy, long nowMillis) {
        double slowStartMillis = Math.max(1, policy.slowStart().toMillis());
        return Math.min(1, FIRST_WEIGHT + (nowMillis - mSinceMillis) / slowStartMillis);
    }

    private void enter(TargetState state, long nowMillis) {
        mState = state;
        mSinceMillis = nowMillis;
        endHold();
        mSlowSinceMillis = NEVER;
        mSpeedWeight = 1;
    }
}
