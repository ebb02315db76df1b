package org.dahliapass.decisions.health;

/** The outcome of a request that was sent to a target. */
public enum Outcome {
    /** A complete response with a status below 500. */
    SUCCESS(true, false, true),
    /** A complete response with a status of 500 or above. */
    FAILURE(false, true, true),
    /** No complete response within the deadline. */
    TIMEOUT(false, true, false),
    /** No connection could be opened. */
    CONNECT_FAILED(false, true, false),
    /** The response was truncated. */
    CUT_SHORT(false, true, false),
    /** The target rejected the request because it is overloaded, which is not a fault. */
    REFUSED_SHED(false, false, true),
    /** The caller or this VM canceled the request. */
    CANCELLED(false, false, false);

    private final boolean mSuccess;
    private final boolean mFailure;
    private final boolean mResponse;

    Outcome(boolean success, boolean failure, boolean response) {
        mSuccess = success;
        mFailure = failure;
        mResponse = response;
    }

    /** Returns whether this outcome is evidence of a healthy target. */
    public boolean isSuccess() {
        return mSuccess;
    }

    /** Returns whether this outcome is evidence of a fault of the target or its network path. */
    public boolean isFailure() {
        return mFailure;
    }

    /** Returns whether the target sent a complete response. */
    public boolean hasResponse() {
        return mResponse;
    }
}
