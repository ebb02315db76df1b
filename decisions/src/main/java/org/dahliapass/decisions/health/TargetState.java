package org.dahliapass.decisions.health;

/** Where a target stands for one VM. */
public enum TargetState {
    /** Gets its share of work. */
    ACTIVE(true),
    /** Works for others, but this VM's own path or work fails: this VM leaves it out. */
    AVOIDED_HERE(false),
    /** Sick on the evidence of the cell. */
    EJECTED(false),
    /** Was out or is new; gets a growing share. */
    RETURNING(true),
    /** Stops; gets nothing new whatever the floor. */
    LEAVING(false),
    /** Still starting; gets little work, and its failures don't count. */
    COLD(true);

    private final boolean mGetsWork;

    TargetState(boolean getsWork) {
        mGetsWork = getsWork;
    }

    /** Returns whether new work may be sent to it. */
    public boolean receivesRequests() {
        return mGetsWork;
    }
}
