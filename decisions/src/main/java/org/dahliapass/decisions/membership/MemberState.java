package org.dahliapass.decisions.membership;

/**
 * The state of a member. Declared in order of precedence: of two states with the same incarnation
 * and refutation counter, the later constant wins.
 */
public enum MemberState {
    /** Serves requests; reported by the VM itself. */
    ALIVE(true, true),
    /** Shuts down gracefully and is given to no new callers; reported by the VM itself. */
    LEAVING(true, false),
    /** Failed its direct and indirect probes; reported by others, and the VM can refute it. */
    SUSPECT(false, true),
    /** Didn't refute a suspicion in time; reported by others, and the VM can still refute it. */
    DEAD(false, false);

    private final boolean mSelfReported;
    private final boolean mInCells;

    MemberState(boolean selfReported, boolean inCells) {
        mSelfReported = selfReported;
        mInCells = inCells;
    }

    /** Returns whether only the VM itself reports this state. */
    public boolean isSelfReported() {
        return mSelfReported;
    }

    /** Returns whether a VM in this state stays in its cells. */
    public boolean isInCells() {
        return mInCells;
    }
}
