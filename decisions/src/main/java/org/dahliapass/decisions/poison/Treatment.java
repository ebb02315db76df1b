package org.dahliapass.decisions.poison;

/** How a request may be treated, by the crashes that identical requests caused. */
public enum Treatment {
    /** The request isn't suspected. */
    USUAL(true, true),
    /**
     * A target crashed during an identical request: it runs at one target at a time and isn't
     * retried after a crash.
     */
    ALONE(true, false),
    /** The request crashes its targets and isn't run any more. */
    QUARANTINED(false, false);

    private final boolean mMayRun;
    private final boolean mMayRunAgain;

    Treatment(boolean mayRun, boolean mayRunAgain) {
        mMayRun = mayRun;
        mMayRunAgain = mayRunAgain;
    }

    /** Returns whether the request may be sent to a target. */
    public boolean mayRun() {
        return mMayRun;
    }

    /** Returns whether the request may be hedged, or retried after its connection broke. */
    public boolean mayRunAgain() {
        return mMayRunAgain;
    }
}
