package org.dahliapass.decisions.memory;

import java.util.OptionalInt;

/** Derives the limit of the account from the machine and from the heap. */
public final class MemoryLimit {
    private static final long MEGABYTE = 1024 * 1024;

    /**
     * What the process holds outside of the account's heap on the machine: 64 MB of direct memory,
     * 40 MB of heap for the program's own state, and 96 MB for classes, compiled code, thread
     * stacks and the operating system.
     */
    private static final long RUNTIME_BYTES = 200 * MEGABYTE;

    /**
     * The heap for the program's own state: the young generation of 12 MB, the copy of the store,
     * and the state of targets and VMs. Bodies and buffered responses are heap buffers.
     */
    private static final long HEAP_STATE_BYTES = 40 * MEGABYTE;

    /** Lets a VM on a very small machine serve requests without large bodies. */
    private static final long MIN_BYTES = 8 * MEGABYTE;

    private MemoryLimit() {}

    /**
     * Returns the memory that requests may hold, in bytes: the smaller of what the machine and what
     * the heap leave.
     *
     * @param machineMegabytes the memory of the machine, in megabytes; empty for no limit
     * @param maxHeapBytes the maximum size of the heap, in bytes
     * @return {@link Long#MAX_VALUE} for no limit
     */
    public static long bytes(OptionalInt machineMegabytes, long maxHeapBytes) {
        if (machineMegabytes.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long machineBytes = machineMegabytes.getAsInt() * MEGABYTE - RUNTIME_BYTES;
        long heapBytes = maxHeapBytes - HEAP_STATE_BYTES;
        return Math.max(MIN_BYTES, Math.min(machineBytes, heapBytes));
    }
}
