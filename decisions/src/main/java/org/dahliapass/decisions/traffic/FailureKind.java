package org.dahliapass.decisions.traffic;

/** How an attempt at a target failed, and what follows for retries and for the target's health. */
public enum FailureKind {
    /** The connection could not be opened, so nothing was sent. */
    CONNECT_FAILED(false, true),
    /**
     * The target refused the request without processing it (GOAWAY, REFUSED_STREAM, load shedding).
     */
    REFUSED_NOT_PROCESSED(false, false),
    /** The target responded with a server error; its effects are unknown. */
    SERVER_ERROR(true, true),
    /** The response did not begin in time; the target may still be processing the request. */
    TIMED_OUT(true, true),
    /** The response began and was cut off. */
    CUT_SHORT(true, true),
    /** The connection broke after all or a part of the request was sent. */
    RESET_AFTER_SEND(true, true),
    /** The caller disconnected. */
    CANCELLED_BY_CALLER(true, false);

    private final boolean mMayHaveRun;
    private final boolean mTargetFault;

    FailureKind(boolean mayHaveRun, boolean targetFault) {
        mMayHaveRun = mayHaveRun;
        mTargetFault = targetFault;
    }

    /** Returns false only if the target is known not to have run the request. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns whether the failure counts against the target's health. */
    public boolean isTargetFault() {
        return mTargetFault;
    }

    /** Returns whether the connection broke while the target had the request. */
    public boolean brokeConnection() {
        return this == CUT_SHORT || this == RESET_AFTER_SEND;
    }

    /** Returns whether the target sent a response that says so. */
    public boolean isResponse() {
        return this == REFUSED_NOT_PROCESSED || this == SERVER_ERROR;
    }

    /** Returns whether the caller still waits for a response, so that a retry is useful. */
    public boolean isCallerWaiting() {
        return this != CANCELLED_BY_CALLER;
    }
}
