package org.dahliapass.lab.fleet;

/** What a target does with the work that it fails while it is in a bout. */
enum FailureMode {
    /** It answers with an error of its own within a millisecond. */
    ERROR,
    /** It breaks the connection off within a millisecond. */
    RESET,
    /** It never answers. */
    HANG,
    /** It takes eight times as long. */
    SLOW
}
