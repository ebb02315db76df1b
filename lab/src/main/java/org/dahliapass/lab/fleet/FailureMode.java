package org.dahliapass.lab.fleet;

/** How a target fails requests during a failure period. */
enum FailureMode {
    /** Returns a server error after one millisecond. */
    ERROR,
    /** Resets the connection after one millisecond. */
    RESET,
    /** Never responds. */
    HANG,
    /** Takes eight times the usual service time. */
    SLOW
}
