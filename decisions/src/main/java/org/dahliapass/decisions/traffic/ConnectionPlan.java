package org.dahliapass.decisions.traffic;

/**
 * Plans the connections of this VM to each target of a service.
 *
 * <p>Not safe for use by several threads: the caller guards it by a lock. A call costs O(1).
 */
public final class ConnectionPlan {
    /**
     * The part of a target's connections that the cell plans to use. The rest is for the time when
     * a VM has joined the cell and those that leave it, or don't know of it yet, still hold theirs.
     */
    private static final double PLANNED_SHARE = 0.8;

    /** Connections held beyond the recent peak, so that a rise finds one open. */
    private static final int HEADROOM = 1;

    private final int mConnectionsPerTarget;
    private final int mSlotsPerTarget;
    private int mCellSize = 1;

    /**
     * Starts with this VM alone in the cell.
     *
     * @param connectionsPerTarget connections that a target accepts from the whole fleet
     * @param slotsPerTarget requests that a target works on at once
     */
    public ConnectionPlan(int connectionsPerTarget, int slotsPerTarget) {
        mConnectionsPerTarget = connectionsPerTarget;
        mSlotsPerTarget = slotsPerTarget;
    }

    /** Takes the number of VMs in the cell, this one among them. */
    public void onCellSize(int cellSize) {
        mCellSize = Math.max(1, cellSize);
    }

    /** Returns the most connections that this VM may have to one target, in whatever state. */
    public int limit() {
        return Math.max(1, (int) (mConnectionsPerTarget * PLANNED_SHARE) / mCellSize);
    }

    /** Returns how a request gets its connection. */
    public ConnectionChoice choose(ConnectionCounts use) {
        if (use.idle() > 0) {
            return ConnectionChoice.REUSE;
        }
        return use.total() < limit() ? ConnectionChoice.OPEN : ConnectionChoice.WAIT;
    }

    /**
     * Returns how many connections to open now ahead of need.
     *
     * @param use the connections to the target
     * @param peakInFlight the most requests that this VM had in flight there of late
     */
    public int connectionsToPrewarm(ConnectionCounts use, int peakInFlight) {
        int wanted = Math.min(mSlotsPerTarget, peakInFlight + HEADROOM);
        int usable = use.idle() + use.busy() + use.opening();
        int room = limit() - use.total();
        return Math.max(0, Math.min(wanted - usable, room));
    }

    /** How a request gets its connection. */
    public enum ConnectionChoice {
        /** An idle connection is there. */
        REUSE,
        /** A new one may be opened. */
        OPEN,
        /** All that this VM may have are in use. */
        WAIT
    }

    /**
     * This VM's connections to one target.
     *
     * @param idle open, with no exchange
     * @param busy open, with an exchange
     * @param opening not open yet
     * @param closing not closed yet, no longer usable
     */
    public record ConnectionCounts(int idle, int busy, int opening, int closing) {
        /** Returns how many there are in all. */
        public int total() {
            return idle + busy + opening + closing;
        }
    }
}
