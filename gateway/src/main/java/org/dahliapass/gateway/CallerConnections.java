package org.dahliapass.gateway;

import java.util.OptionalInt;
import java.util.function.IntSupplier;
import org.dahliapass.decisions.memory.DescriptorPolicy;
import org.dahliapass.decisions.memory.MemoryAccount;
import org.dahliapass.http.ConnectionListener;

/** Bounds the connections of callers by the file descriptors, and accounts for their memory. */
final class CallerConnections implements ConnectionListener {
    private final DescriptorPolicy mPolicy;
    private final IntSupplier mTargetConnections;
    private final RequestMemory mMemory;

    /**
     * Creates a listener for the server of the callers.
     *
     * @param descriptors the file descriptors that the process may open; empty for no limit
     * @param targetConnections returns the number of open connections to targets
     */
    CallerConnections(
            OptionalInt descriptors, IntSupplier targetConnections, RequestMemory memory) {
        mPolicy = new DescriptorPolicy(descriptors);
        mTargetConnections = targetConnections;
        mMemory = memory;
    }

    @Override
    public boolean accepts(int connections) {
        return mPolicy.accepts(connections, mTargetConnections.getAsInt());
    }

    @Override
    public Runnable onOpened() {
        MemoryAccount.Holding holding = mMemory.holdConnection();
        return holding::release;
    }
}
