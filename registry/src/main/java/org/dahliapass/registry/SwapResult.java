package org.dahliapass.registry;

/** What became of a compare-and-swap whose answer arrived. */
public enum SwapResult {
    /** The value was written. */
    SWAPPED,
    /** Another write came first; nothing was written. */
    CONFLICT
}
