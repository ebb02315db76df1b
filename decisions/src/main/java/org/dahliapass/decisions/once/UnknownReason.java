package org.dahliapass.decisions.once;

/**
 * The reason why the outcome of an operation is unknown. Sending the same key again is always safe.
 */
public enum UnknownReason {
    /** The key is older than the retention time of outcomes and never runs. */
    EXPIRED("the key has expired", false),
    /** The key's issue time is ahead of this VM's clock by more than the allowed skew. */
    NOT_YET_VALID("the key's time lies in the future", true),
    /** A target received the request, and its response was not received. */
    MAY_HAVE_RUN("a target may have run it", true),
    /** The table is full, so the VM can't record that the key never runs. */
    TABLE_FULL("the VM has no room to record the key", true),
    /** The witness was restarted; only the home may still know the outcome. */
    WITNESS_RESTARTED("the witness has restarted", true),
    /** Neither the home nor the witness answered. */
    NO_WORD("neither the home nor the witness answers", true);

    private final String mExplanation;
    private final boolean mMayResolveLater;

    UnknownReason(String explanation, boolean mayResolveLater) {
        mExplanation = explanation;
        mMayResolveLater = mayResolveLater;
    }

    /** Returns the reason as the second half of a sentence: "The outcome is unknown: ...". */
    public String explanation() {
        return mExplanation;
    }

    /** Returns whether a later query of the same key can return another answer. */
    public boolean mayResolveLater() {
        return mMayResolveLater;
    }
}
