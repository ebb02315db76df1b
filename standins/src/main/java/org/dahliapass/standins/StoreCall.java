package org.dahliapass.standins;

import com.linecorp.armeria.common.QueryParams;

/** The kind of a store call, by which the store counts its calls. */
public enum StoreCall {
    /** A non-blocking read. */
    READ,
    /** A blocking read. */
    WATCH,
    /** An unconditional write. */
    PUT,
    /** A compare-and-swap. */
    CAS,
    /** A write that acquires the key's lock for a session. */
    ACQUIRE,
    /** A write that releases the key's lock. */
    RELEASE,
    /** A deletion. */
    DELETE,
    /** A session creation. */
    SESSION_CREATE,
    /** A renewal of a session's time to live. */
    SESSION_RENEW,
    /** A session destruction. */
    SESSION_DESTROY;

    /** Returns the kind of write that the query parameters select. */
    static StoreCall ofWrite(QueryParams parameters) {
        if (parameters.contains("cas")) {
            return CAS;
        }
        if (parameters.contains("acquire")) {
            return ACQUIRE;
        }
        return parameters.contains("release") ? RELEASE : PUT;
    }
}
