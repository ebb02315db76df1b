package org.dahliapass.decisions.health;

/** The outcome of a request that was sent to a target. */
public enum Outcome {
    /** A complete response with a status below 500. */
    SUCCESS(true, false),
    /** A complete response with a status of 500 or above. */
    FAILURE(false, true),
    /** No complete response within the deadline. */
    TIMEOUT(false, true),
    /** No connection could be opened. */
    CONNECT_FAILED(false, true),
    /** The response was truncated. */
    CUT_SHORT(false, true),
    /** The target rejected the request because it is overloaded, which is not a fault. */
    REFUSED_SHED(false, false),
    /** The caller or this VM canceled the request. */
    CANCELLED(false, false);

    private final boolean mSuccess;
    private final boolean mFailure;

    Outcome(boolean success, boolean failure) {
        mSuccess = success;
        mFailure = failure;
    }

    /** Returns whether this outcome is evidence of a healthy target. */
    public boolean isSuccess() {
        return mSuccess;
    }

    /** Returns whether this outcome is evidence of a fault of the target or its network path. */
    public boolean isFailure() {
        return mFailure;
    }
}
