package org.dahliapass.decisions.traffic;

/** Why a hedge is sent. */
public enum HedgeReason {
    /** The target of the running attempt is in doubt. */
    TARGET("target"),
    /** The running attempt is much older than usual responses. */
    AGE("age");

    private final String mLabel;

    HedgeReason(String label) {
        mLabel = label;
    }

    /** Returns the name in metrics. */
    public String label() {
        return mLabel;
    }
}
