package org.dahliapass.kernel;

/** The exit codes that all binaries share. */
public enum ExitCode {
    /** All was done. */
    OK(0),
    /** The work itself failed; the message tells where. */
    FAILED(1),
    /** The command line or a settings file is wrong; nothing was started. */
    USAGE(2),
    /** Another operator's change came first; the draft is kept. */
    CONFLICT(3),
    /** The outcome can't be told now; ask again as the message says. */
    UNKNOWN(4);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    /** Returns the number that the operating system is given. */
    public int code() {
        return mCode;
    }
}
