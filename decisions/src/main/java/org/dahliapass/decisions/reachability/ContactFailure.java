package org.dahliapass.decisions.reachability;

/** How an attempt at a target ended without a response. */
public enum ContactFailure {
    /** The connection was refused or could not be opened in time. */
    NOT_CONNECTED,
    /** The connection broke. */
    BROKEN,
    /** There was no response in time. */
    SILENT
}
