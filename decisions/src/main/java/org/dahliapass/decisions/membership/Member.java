package org.dahliapass.decisions.membership;

import org.dahliapass.model.VmIdentity;

/** This VM's mutable state for one other member. */
final class Member {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private MemberUpdate mUpdate;
    private long mStateSinceMillis;
    private long mLastHeardMillis = NEVER;
    private int mTransmissions;
    private boolean mLocalVerdict;

    Member(MemberUpdate update, long nowMillis) {
        mUpdate = update;
        mStateSinceMillis = nowMillis;
    }

    MemberUpdate update() {
        return mUpdate;
    }

    MemberState state() {
        return mUpdate.state();
    }

    VmIdentity identity() {
        return mUpdate.identity();
    }

    String name() {
        return mUpdate.identity().name();
    }

    boolean isDead() {
        return state() == MemberState.DEAD;
    }

    /** Applies an update; a changed state or incarnation restarts the state timer. */
    void apply(MemberUpdate update, boolean localVerdict, long nowMillis) {
        boolean sameIncarnation = identity().equals(update.identity());
        if (!sameIncarnation || update.state() != state()) {
            mStateSinceMillis = nowMillis;
        }
        if (!sameIncarnation) {
            mLastHeardMillis = NEVER;
        }
        mUpdate = update;
        mLocalVerdict = localVerdict;
    }

    long stateSinceMillis() {
        return mStateSinceMillis;
    }

    /** Shifts the state timer by a time in which this process was paused. */
    void shiftStateSince(long gapMillis) {
        mStateSinceMillis += gapMillis;
    }

    /** Restarts the state timer. */
    void restartStateTimer(long nowMillis) {
        mStateSinceMillis = nowMillis;
    }

    long lastHeardMillis() {
        return mLastHeardMillis;
    }

    void recordHeard(long nowMillis) {
        mLastHeardMillis = nowMillis;
    }

    int transmissions() {
        return mTransmissions;
    }

    void setTransmissions(int transmissions) {
        mTransmissions = transmissions;
    }

    /** Returns whether the state is a verdict of this VM that it has not gossiped. */
    boolean isLocalVerdict() {
        return mLocalVerdict;
    }

    /** Records that another VM reached the same verdict. */
    void confirmVerdict() {
        mLocalVerdict = false;
    }
}
