package org.dahliapass.decisions.health;

/** The status that a target reports about itself; may be delayed or wrong. */
public enum HealthReport {
    /** Accepts new requests. */
    SERVING(false),
    /** Recently started; may be slow or fail for a while. */
    COLD(false),
    /** Completes its requests in flight and accepts no new ones. */
    DRAINING(true),
    /** Is shutting down. */
    LEAVING(true),
    /** Cannot serve requests; only a hint. */
    UNHEALTHY(false);

    private final boolean mRejectsNewRequests;

    HealthReport(boolean rejectsNewRequests) {
        mRejectsNewRequests = rejectsNewRequests;
    }

    /** Returns whether the target must not receive new requests. */
    public boolean rejectsNewRequests() {
        return mRejectsNewRequests;
    }
}
