package org.dahliapass.decisions.configuration;

/** How a compare-and-swap ended. */
public enum SwapOutcome {
    /** The value was written. */
    SWAPPED,
    /** The key had another index; nothing was written. */
    CONFLICT,
    /** The answer was lost: the value may have been written or may be written later. */
    UNKNOWN,
    /** The store was not reached; nothing was written. */
    NOT_WRITTEN
}
