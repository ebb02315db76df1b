package org.dahliapass.decisions.health;

/** How a piece of work that was sent to a target ended, and what that says of the target. */
public enum Outcome {
    /** A whole answer with a status below 500. */
    SUCCESS(true, false),
    /** A whole answer with a status of 500 or above. */
    FAILURE(false, true),
    /** No whole answer within the deadline. */
    TIMEOUT(false, true),
    /** No connection could be opened. */
    CONNECT_FAILED(false, true),
    /** The answer ended before its end. */
    CUT_SHORT(false, true),
    /** The target refused because it is full: it works, so this is no evidence of sickness. */
    REFUSED_SHED(false, false),
    /** The caller or this VM gave up; the target is not to blame. */
    CANCELLED(false, false);

    private final boolean mSuccess;
    private final boolean mFailure;

    Outcome(boolean success, boolean failure) {
        mSuccess = success;
        mFailure = failure;
    }

    /** Returns whether this speaks for the target. */
    public boolean isSuccess() {
        return mSuccess;
    }

    /** Returns whether this speaks against the target or the path to it. */
    public boolean isFailure() {
        return mFailure;
    }
}
