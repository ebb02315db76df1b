package org.dahliapass.decisions.health;

/** The state of a target as assessed by one VM. */
public enum TargetState {
    /** Receives its full share of requests. */
    ACTIVE(true),
    /** Excluded by this VM only, because its own requests fail while those of other VMs succeed. */
    AVOIDED_HERE(false),
    /** Excluded because it is faulty by the evidence of the cell. */
    EJECTED(false),
    /** New or previously excluded; receives an increasing share of requests (slow start). */
    RETURNING(true),
    /** Shutting down; receives no new requests, regardless of the floor. */
    LEAVING(false),
    /** Starting up; receives few requests, and its failures are not counted. */
    COLD(true);

    private final boolean mReceivesRequests;

    TargetState(boolean receivesRequests) {
        mReceivesRequests = receivesRequests;
    }

    /** Returns whether new requests may be sent to a target in this state. */
    public boolean receivesRequests() {
        return mReceivesRequests;
    }
}
