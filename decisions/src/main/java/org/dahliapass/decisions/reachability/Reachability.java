package org.dahliapass.decisions.reachability;

/** Whether a VM's network reaches the targets. */
public enum Reachability {
    /** At least one target was reached, or none was tried. */
    REACHED,
    /** Attempts at several targets got no response, or a connection could not be opened. */
    SUSPECTED,
    /** The VM opens no connection to any target. */
    PARTITIONED
}
