package org.dahliapass.kernel;

/** The exit codes of all programs. */
public enum ExitCode {
    /** Success. */
    OK(0),
    /** The operation failed; the message names the operation and the peer. */
    FAILED(1),
    /** The command line or a settings file is invalid; nothing was started. */
    USAGE(2),
    /** Another operator's change was accepted first; the draft is kept. */
    CONFLICT(3),
    /** The outcome is unknown; the message says how to query it. */
    UNKNOWN(4);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    /** Returns the process exit status. */
    public int code() {
        return mCode;
    }
}
