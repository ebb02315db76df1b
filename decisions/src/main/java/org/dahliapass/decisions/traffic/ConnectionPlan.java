package org.dahliapass.decisions.traffic;

/**
 * Limits and plans the connections of this VM to each target of a service.
 *
 * <p>Not thread-safe; guarded by the caller's lock.
 */
public final class ConnectionPlan {
    /**
     * The share of a target's connections that the cell uses. The rest covers membership changes,
     * while VMs that leave or don't know of a new member yet still hold connections.
     */
    private static final double CONNECTION_SHARE = 0.8;

    /** Connections kept beyond the recent peak, so that a rise finds one open. */
    private static final int HEADROOM = 1;

    private final int mConnectionsPerTarget;
    private final int mSlotsPerTarget;
    private int mCellSize = 1;

    /**
     * Creates a plan for a cell of this VM alone.
     *
     * @param connectionsPerTarget connections that a target accepts from the whole fleet
     * @param slotsPerTarget requests that a target processes concurrently
     */
    public ConnectionPlan(int connectionsPerTarget, int slotsPerTarget) {
        mConnectionsPerTarget = connectionsPerTarget;
        mSlotsPerTarget = slotsPerTarget;
    }

    /** Sets the number of VMs in the cell, including this one. */
    public void onCellSize(int cellSize) {
        mCellSize = Math.max(1, cellSize);
    }

    /** Returns the maximum number of connections from this VM to one target, in any state. */
    public int limit() {
        return Math.max(1, (int) (mConnectionsPerTarget * CONNECTION_SHARE) / mCellSize);
    }

    /** Returns whether a request reuses a connection, opens one or waits. */
    public ConnectionChoice choose(ConnectionCounts use) {
        if (use.idle() > 0) {
            return ConnectionChoice.REUSE;
        }
        return use.total() < limit() ? ConnectionChoice.OPEN : ConnectionChoice.WAIT;
    }

    /**
     * Returns how many connections to open before they are needed.
     *
     * @param use the connections to the target
     * @param peakInFlight the recent maximum of this VM's requests in flight to the target
     */
    public int connectionsToPrewarm(ConnectionCounts use, int peakInFlight) {
        int desired = Math.min(mSlotsPerTarget, peakInFlight + HEADROOM);
        int usable = use.idle() + use.busy() + use.opening();
        int remaining = limit() - use.total();
        return Math.max(0, Math.min(desired - usable, remaining));
    }

    /** How a request gets its connection. */
    public enum ConnectionChoice {
        /** An idle connection exists. */
        REUSE,
        /** A new connection may be opened. */
        OPEN,
        /** All connections that this VM may have are in use. */
        WAIT
    }

    /**
     * The number of this VM's connections to one target, by state.
     *
     * @param idle open, without an exchange
     * @param busy open, with an exchange
     * @param opening not open yet
     * @param closing no longer usable, not closed yet
     */
    public record ConnectionCounts(int idle, int busy, int opening, int closing) {
        /** Returns the number of connections in all states. */
        public int total() {
            return idle + busy + opening + closing;
        }
    }
}
