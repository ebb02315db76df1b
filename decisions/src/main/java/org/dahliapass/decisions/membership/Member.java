package org.dahliapass.decisions.membership;

import org.dahliapass.model.VmIdentity;

/** What this VM holds of one other VM; the only mutable object a member costs. */
final class Member {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private MemberUpdate mUpdate;
    private long mSinceMillis;
    private long mHeardMillis = NEVER;
    private int mSent;
    private boolean mLocalVerdict;

    Member(MemberUpdate update, long nowMillis) {
        mUpdate = update;
        mSinceMillis = nowMillis;
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

    /** Takes news; the time since when the state is held starts anew with another state. */
    void apply(MemberUpdate update, boolean localVerdict, long nowMillis) {
        boolean sameLife = identity().equals(update.identity());
        if (!sameLife || update.state() != state()) {
            mSinceMillis = nowMillis;
        }
        if (!sameLife) {
            mHeardMillis = NEVER;
        }
        mUpdate = update;
        mLocalVerdict = localVerdict;
    }

    long stateSinceMillis() {
        return mSinceMillis;
    }

    /** Moves the time since when the state is held, for a time in which this process was paused. */
    void shiftStateSince(long gapMillis) {
        mSinceMillis += gapMillis;
    }

    /** Lets the time since when the state is held start anew. */
    void restartStateTimer(long nowMillis) {
        mSinceMillis = nowMillis;
    }

    long lastHeardMillis() {
        return mHeardMillis;
    }

    void recordHeard(long nowMillis) {
        mHeardMillis = nowMillis;
    }

    int transmissions() {
        return mSent;
    }

    void setTransmissions(int sent) {
        mSent = sent;
    }

    /** Returns whether the state is a verdict of this VM alone that it has told nobody. */
    boolean isLocalVerdict() {
        return mLocalVerdict;
    }

    /** Notes that another VM holds the same verdict. */
    void confirmVerdict() {
        mLocalVerdict = false;
    }
}
