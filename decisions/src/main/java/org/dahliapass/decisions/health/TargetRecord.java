package org.dahliapass.decisions.health;

import java.util.ArrayDeque;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Target;

/** The mutable state of one target at one VM, with its weight and eligibility. */
final class TargetRecord {
    private static final double INITIAL_WEIGHT = 0.1;

    /** The minimum weight of a failing target that the floor keeps in service. */
    private static final double MIN_HELD_WEIGHT = 0.05;

    /** Longer than a typical garbage collection pause. */
    private static final long STRAGGLER_MILLIS = 4_000;

    /** The successes that a returning target needs before it receives at-most-once requests. */
    private static final int MIN_SUCCESSES_FOR_AT_MOST_ONCE = 10;

    private static final long FLAPPING_WINDOW_MILLIS = 600_000;
    private static final int MAX_DOUBLINGS = 5;

    /** A delayed health report may still say "serving" after the target began to shut down. */
    private static final long LEAVING_HOLD_MILLIS = 30_000;

    private static final long MAX_COLD_MILLIS = 60_000;
    private static final long MIN_COLD_INTERVAL_MILLIS = 600_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Target mTarget;
    private final ArrayDeque<Long> mEjections = new ArrayDeque<>();
    private final ArrayDeque<Long> mAvoidances = new ArrayDeque<>();
    private TargetState mState;
    private long mStateSinceMillis;
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
        mStateSinceMillis = nowMillis;
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

    /** Keeps a failing target in service because of the floor, with a reduced weight. */
    void hold(double failureShare) {
        mHeld = true;
        mHeldWeight = Math.max(MIN_HELD_WEIGHT, 1 - failureShare);
    }

    void endHold() {
        mHeld = false;
        mHeldWeight = 1;
    }

    /** Records whether the target is slow and returns whether it has been slow for long enough. */
    boolean updateStraggler(boolean slow, long nowMillis) {
        if (!slow) {
            mSlowSinceMillis = NEVER;
            return false;
        }
        if (mSlowSinceMillis == NEVER) {
            mSlowSinceMillis = nowMillis;
        }
        return nowMillis - mSlowSinceMillis >= STRAGGLER_MILLIS;
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

    /** Excludes the target for a time that doubles with each recent exclusion. */
    void exclude(TargetState state, long baseMillis, long nowMillis) {
        ArrayDeque<Long> recent = state == TargetState.EJECTED ? mEjections : mAvoidances;
        while (!recent.isEmpty() && nowMillis - recent.peekFirst() > FLAPPING_WINDOW_MILLIS) {
            recent.removeFirst();
        }
        int doublings = Math.min(recent.size(), MAX_DOUBLINGS);
        recent.addLast(nowMillis);
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

    /** Enters the leaving state and returns whether the target was not leaving before. */
    boolean markLeaving(long nowMillis) {
        mLastLeavingMillis = nowMillis;
        if (mState == TargetState.LEAVING) {
            return false;
        }
        enter(TargetState.LEAVING, nowMillis);
        return true;
    }

    /** Returns whether a report that a leaving target is serving again can be trusted. */
    boolean canReturnFromLeaving(long nowMillis) {
        return mState == TargetState.LEAVING
                && nowMillis - mLastLeavingMillis >= LEAVING_HOLD_MILLIS;
    }

    /** Returns whether a report of a cold start is accepted, which is limited in frequency. */
    boolean canBecomeCold(long nowMillis) {
        return nowMillis - mColdSinceMillis > MIN_COLD_INTERVAL_MILLIS
                && (mState == TargetState.ACTIVE
                        || mState == TargetState.RETURNING
                        || canReturnFromLeaving(nowMillis));
    }

    void becomeCold(long nowMillis) {
        mColdSinceMillis = nowMillis;
        enter(TargetState.COLD, nowMillis);
    }

    boolean isColdTimedOut(long nowMillis) {
        return mState == TargetState.COLD && nowMillis - mStateSinceMillis > MAX_COLD_MILLIS;
    }

    boolean isSlowStartOver(DetectionPolicy policy, long nowMillis) {
        return nowMillis - mStateSinceMillis >= policy.slowStart().toMillis();
    }

    TargetStatus status(DetectionPolicy policy, long nowMillis) {
        return new TargetStatus(
                mTarget, mState, weight(policy, nowMillis), acceptsAtMostOnce(), mReportedLoad);
    }

    private boolean acceptsAtMostOnce() {
        if (mHeld) {
            return false;
        }
        return mState == TargetState.ACTIVE
                || (mState == TargetState.RETURNING
                        && mSuccessesSinceReturn >= MIN_SUCCESSES_FOR_AT_MOST_ONCE);
    }

    private double weight(DetectionPolicy policy, long nowMillis) {
        if (!mState.receivesRequests()) {
            return 0;
        }
        if (mState == TargetState.COLD) {
            return INITIAL_WEIGHT;
        }
        double weight = mSpeedWeight * mHeldWeight;
        return mState == TargetState.ACTIVE ? weight : weight * slowStartWeight(policy, nowMillis);
    }

    private double slowStartWeight(DetectionPolicy policy, long nowMillis) {
        double durationMillis = Math.max(1, policy.slowStart().toMillis());
        return Math.min(1, INITIAL_WEIGHT + (nowMillis - mStateSinceMillis) / durationMillis);
    }

    private void enter(TargetState state, long nowMillis) {
        mState = state;
        mStateSinceMillis = nowMillis;
        endHold();
        mSlowSinceMillis = NEVER;
        mSpeedWeight = 1;
    }
}
