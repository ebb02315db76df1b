package org.dahliapass.decisions.once;

/** Tells on which proof an operation is said not to have run and never to run under its key. */
public enum NotRunReason {
    /** Somebody asked for the outcome before the intent reached the witness. */
    REFUSED_BY_WITNESS("its outcome was asked for before it could start"),
    /** The witness did not acknowledge the intent in time. */
    WITNESS_SILENT("its witness did not answer"),
    /** The witness that the key names is gone, or the home does not match. */
    WITNESS_RESTARTED("its witness has restarted"),
    /** The witness has no room for another key. */
    WITNESS_FULL("its witness has no room"),
    /** By the witness's clock the key is outside its window. */
    EXPIRED_AT_WITNESS("its key is too old or too new for its witness"),
    /** The home has no room for another key. */
    HOME_FULL("its home has no room"),
    /** The request's deadline passed before the dispatch. */
    DEADLINE_PASSED("its deadline passed before it could start"),
    /** Each target that was tried refused it before running anything. */
    TARGETS_REFUSED("no target took it"),
    /** The home was asked for the outcome before the request arrived. */
    ASKED_FIRST("its outcome was asked for before it arrived"),
    /** The witness holds the home's word that it was given up. */
    ABANDONED("its home gave it up before it started");

    private final String mExplanation;

    NotRunReason(String explanation) {
        mExplanation = explanation;
    }

    /** Returns the reason as the second half of a sentence: "The operation did not run: ...". */
    public String explanation() {
        return mExplanation;
    }
}
