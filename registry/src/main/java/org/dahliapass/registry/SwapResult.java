package org.dahliapass.registry;

/** The result of a compare-and-swap. */
public enum SwapResult {
    /** The value was written. */
    SWAPPED,
    /** The index has changed; nothing was written. */
    CONFLICT
}
