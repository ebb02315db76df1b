package org.dahliapass.decisions.once;

/** A witness's reply to the intent of a home to dispatch a key. */
public enum IntentReply {
    /** The intent is recorded; the home may dispatch. */
    ACCEPTED(NotRunReason.ABANDONED),
    /** The register already records that the key never runs or has an outcome. */
    REFUSED(NotRunReason.REFUSED_BY_WITNESS),
    /** The key names another incarnation of the witness, or the sender isn't the key's home. */
    WRONG_INCARNATION(NotRunReason.WITNESS_RESTARTED),
    /** The key is outside the witness's retention window. */
    EXPIRED(NotRunReason.EXPIRED_AT_WITNESS),
    /** The witness's register is full. */
    FULL(NotRunReason.WITNESS_FULL);

    private final NotRunReason mReason;

    IntentReply(NotRunReason reason) {
        mReason = reason;
    }

    /** Returns the reason for the answer "not run" if the home doesn't dispatch on this reply. */
    NotRunReason reason() {
        return mReason;
    }
}
