package org.dahliapass.kernel;

import org.tinylog.Logger;

/** A log whose lines start with the name of a component. */
public final class ComponentLog {
    private final String mPrefix;

    private ComponentLog(String prefix) {
        mPrefix = prefix;
    }

    /** Returns the log of a component; its lines start with the component's name and a colon. */
    public static ComponentLog of(String component) {
        return new ComponentLog(component + ": ");
    }

    /** Logs a message for debugging. */
    public void debug(String message) {
        Logger.debug(mPrefix + message);
    }

    /** Logs a message that may interest an operator. */
    public void info(String message) {
        Logger.info(mPrefix + message);
    }

    /** Logs a message that an operator should investigate. */
    public void warn(String message) {
        Logger.warn(mPrefix + message);
    }

    /** Logs a defect of this program, with its stack trace. */
    public void error(String message, Throwable failure) {
        Logger.error(failure, mPrefix + message);
    }
}
