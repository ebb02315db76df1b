package org.dahliapass.decisions.poison;

/** What may be done with a request, by what became of others like it. */
public enum Treatment {
    /** Nothing speaks against it. */
    USUAL(true, true),
    /** A target ended under one like it: it has one target at a time, and no other after that. */
    ALONE(true, false),
    /** Targets end under it: none gets it any more. */
    QUARANTINED(false, false);

    private final boolean mMayRun;
    private final boolean mMayRunAgain;

    Treatment(boolean mayRun, boolean mayRunAgain) {
        mMayRun = mayRun;
        mMayRunAgain = mayRunAgain;
    }

    /** Returns whether a target may get it. */
    public boolean mayRun() {
        return mMayRun;
    }

    /** Returns whether a second target may get it beside the first, or after the first broke. */
    public boolean mayRunAgain() {
        return mMayRunAgain;
    }
}
