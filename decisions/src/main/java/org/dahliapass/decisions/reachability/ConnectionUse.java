package org.dahliapass.decisions.reachability;

/** The connection of an attempt at a target. */
public enum ConnectionUse {
    /** A connection that was opened for the attempt. */
    NEW,
    /** A connection that carried another request before. */
    OPEN
}
