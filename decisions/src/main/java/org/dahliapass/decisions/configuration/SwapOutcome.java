package org.dahliapass.decisions.configuration;

/** The outcome of a compare-and-swap. */
public enum SwapOutcome {
    /** The value was written. */
    SWAPPED,
    /** The key had another index; nothing was written. */
    CONFLICT,
    /** The response was lost; the value may have been written or may still be. */
    UNKNOWN,
    /** The store was not reached, and nothing was written. */
    NOT_WRITTEN
}
