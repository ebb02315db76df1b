package org.dahliapass.decisions.once;

/** What a witness replies to a home that wants to dispatch a key. */
public enum IntentReply {
    /** The intent is on record; the home may dispatch. */
    ACCEPTED(NotRunReason.ABANDONED),
    /** The register already holds that the key never runs, or that it ended. */
    REFUSED(NotRunReason.REFUSED_BY_WITNESS),
    /** The key names another incarnation of the witness, or the sender isn't the key's home. */
    WRONG_INCARNATION(NotRunReason.WITNESS_RESTARTED),
    /** The key is outside the witness's window. */
    EXPIRED(NotRunReason.EXPIRED_AT_WITNESS),
    /** The witness has no room. */
    FULL(NotRunReason.WITNESS_FULL);

    private final NotRunReason mReason;

    IntentReply(NotRunReason reason) {
        mReason = reason;
    }

    /** Returns the reason that the home gives when it doesn't dispatch on this reply. */
    NotRunReason reason() {
        return mReason;
    }
}
