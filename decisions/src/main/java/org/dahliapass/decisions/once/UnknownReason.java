package org.dahliapass.decisions.once;

/** Tells why nobody can say whether an operation ran. Sending the same key again is always safe. */
public enum UnknownReason {
    /** The key is older than the time for which outcomes are kept; it is never run any more. */
    EXPIRED("the key has expired", false),
    /** The key claims to be born later than this VM's clock and its margin allow. */
    NOT_YET_VALID("the key's time lies in the future", true),
    /** A target got the request, and its answer has not come. */
    MAY_HAVE_RUN("a target may have run it", true),
    /** There is no room to write down a refusal, so none may be promised. */
    TABLE_FULL("the VM has no room to record the key", true),
    /** The witness that knew was restarted; only the home, should it come back, can tell. */
    WITNESS_RESTARTED("the witness has restarted", true),
    /** Neither the home nor the witness gave word. */
    NO_WORD("neither the home nor the witness answers", true);

    private final String mExplanation;
    private final boolean mMayBeSettledLater;

    UnknownReason(String explanation, boolean mayBeSettledLater) {
        mExplanation = explanation;
        mMayBeSettledLater = mayBeSettledLater;
    }

    /** Returns the reason as the second half of a sentence: "The outcome is unknown: ...". */
    public String explanation() {
        return mExplanation;
    }

    /** Tells whether asking again by the same key later can give another answer. */
    public boolean mayResolveLater() {
        return mMayBeSettledLater;
    }
}
