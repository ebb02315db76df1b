package org.dahliapass.decisions.membership;

/**
 * What a VM holds of another one. Declared in rising rank: of two states of the same incarnation
 * and refutation counter, the later one here wins.
 */
public enum MemberState {
    /** Serves; said by the VM itself. */
    ALIVE(true, true),
    /** Stops gracefully: takes no new asks; said by the VM itself. */
    LEAVING(true, false),
    /** Missed a ping and the indirect ones; others' verdict, which the VM may refute. */
    SUSPECT(false, true),
    /** Didn't refute a suspicion in time; others' verdict, which the VM may still refute. */
    DEAD(false, false);

    private final boolean mOwnWord;
    private final boolean mInCells;

    MemberState(boolean ownWord, boolean inCells) {
        mOwnWord = ownWord;
        mInCells = inCells;
    }

    /** Returns whether only the VM itself says this of itself; others' verdicts are not. */
    public boolean isSelfReported() {
        return mOwnWord;
    }

    /** Returns whether a VM in this state keeps its place in cells. */
    public boolean isInCells() {
        return mInCells;
    }
}
