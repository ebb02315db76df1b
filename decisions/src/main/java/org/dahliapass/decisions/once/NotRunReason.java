package org.dahliapass.decisions.once;

/** The reason why an operation did not run and never will under its key. */
public enum NotRunReason {
    /** The outcome was queried at the witness before the intent arrived there. */
    REFUSED_BY_WITNESS("its outcome was asked for before it could start"),
    /** The witness did not acknowledge the intent in time. */
    WITNESS_SILENT("its witness did not answer"),
    /** The witness's incarnation has ended, or the home does not match the key. */
    WITNESS_RESTARTED("its witness has restarted"),
    /** The witness's register is full. */
    WITNESS_FULL("its witness has no room"),
    /** The key is outside the witness's retention window by the witness's clock. */
    EXPIRED_AT_WITNESS("its key is too old or too new for its witness"),
    /** The home's ledger is full. */
    HOME_FULL("its home has no room"),
    /** The request's deadline passed before the dispatch. */
    DEADLINE_PASSED("its deadline passed before it could start"),
    /** Every attempted target refused the request without running it. */
    TARGETS_REFUSED("no target took it"),
    /** The outcome was queried at the home before the request arrived. */
    ASKED_FIRST("its outcome was asked for before it arrived"),
    /** The home notified the witness that it abandoned the operation. */
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
