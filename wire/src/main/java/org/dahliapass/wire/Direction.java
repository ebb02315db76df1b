package org.dahliapass.wire;

/** The direction of a message, as seen from this process. */
public enum Direction {
    /** From a peer to this process. */
    IN,
    /** From this process to a peer. */
    OUT
}
