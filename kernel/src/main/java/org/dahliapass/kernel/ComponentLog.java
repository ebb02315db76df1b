package org.dahliapass.kernel;

import org.tinylog.Logger;

/** Writes log lines with the fixed prefix of one part, so that a reader can filter by part. */
public final class ComponentLog {
    private final String mPrefix;

    private ComponentLog(String prefix) {
        mPrefix = prefix;
    }

    /** Returns the log of a part; its lines begin with the part's name and a colon. */
    public static ComponentLog of(String part) {
        return new ComponentLog(part + ": ");
    }

    /** Logs what is of use only while looking for a fault. */
    public void debug(String sentence) {
        Logger.debug(mPrefix + sentence);
    }

    /** Logs what an operator may want to know. */
    public void info(String sentence) {
        Logger.info(mPrefix + sentence);
    }

    /** Logs what an operator should look at. */
    public void warn(String sentence) {
        Logger.warn(mPrefix + sentence);
    }

    /** Logs a fault of this program, with its stack. */
    public void error(String sentence, Throwable failure) {
        Logger.error(failure, mPrefix + sentence);
    }
}
