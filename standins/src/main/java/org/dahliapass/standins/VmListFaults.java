package org.dahliapass.standins;

/**
 * The VM list's faults; a field left out of the JSON is off.
 *
 * @param away every read fails with status 500, waiting ones too
 * @param lagMillis how much later a change becomes visible to readers, in milliseconds
 */
public record VmListFaults(boolean away, long lagMillis) {
    /** No fault. */
    public static final VmListFaults NONE = new VmListFaults(false, 0);
}
