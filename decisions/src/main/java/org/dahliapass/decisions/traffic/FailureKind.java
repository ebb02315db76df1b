package org.dahliapass.decisions.traffic;

/** How a try at a target failed, and what that proves. */
public enum FailureKind {
    /** No connection came about, so nothing was sent. */
    CONNECT_FAILED(false, true),
    /** The target refused the request unprocessed (GOAWAY, REFUSED_STREAM, shed load). */
    REFUSED_NOT_PROCESSED(false, false),
    /** The target answered with a server error; its effects are unknown. */
    SERVER_ERROR(true, true),
    /** No answer began in time; the target may still be working. */
    TIMED_OUT(true, true),
    /** The answer began and broke off. */
    CUT_SHORT(true, true),
    /** The connection broke after the request was sent, wholly or in part. */
    RESET_AFTER_SEND(true, true),
    /** The caller went away. */
    CANCELLED_BY_CALLER(true, false);

    private final boolean mMayHaveRun;
    private final boolean mTargetFault;

    FailureKind(boolean mayHaveRun, boolean targetFault) {
        mMayHaveRun = mayHaveRun;
        mTargetFault = targetFault;
    }

    /** Returns false only where it is proved that the target didn't run the request. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns whether the failure speaks against the target's health. */
    public boolean isTargetFault() {
        return mTargetFault;
    }

    /** Returns whether the connection broke while the target had the request. */
    public boolean brokeConnection() {
        return this == CUT_SHORT || this == RESET_AFTER_SEND;
    }

    /** Returns whether somebody still waits for an answer, so that another try makes sense. */
    public boolean isCallerWaiting() {
        return this != CANCELLED_BY_CALLER;
    }
}
