package org.dahliapass.standins;

/**
 * The faults injected into the VM list; a field missing from the JSON is off.
 *
 * @param away every read fails with status 500, including pending reads
 * @param lagMillis the delay until a change becomes visible to readers, in milliseconds
 */
public record VmListFaults(boolean away, long lagMillis) {
    /** No faults. */
    public static final VmListFaults NONE = new VmListFaults(false, 0);
}
