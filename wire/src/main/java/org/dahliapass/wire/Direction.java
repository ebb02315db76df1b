package org.dahliapass.wire;

/** Which way a message goes, seen from this process. */
public enum Direction {
    /** From a peer to this process. */
    IN,
    /** From this process to a peer. */
    OUT
}
