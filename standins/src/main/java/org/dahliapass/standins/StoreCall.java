package org.dahliapass.standins;

import com.linecorp.armeria.common.QueryParams;

/** The kinds of calls that the store counts. */
public enum StoreCall {
    /** A read that is answered at once. */
    READ,
    /** A blocking read. */
    WATCH,
    /** A write without condition. */
    PUT,
    /** A compare-and-swap. */
    CAS,
    /** A write that takes the key for a session. */
    ACQUIRE,
    /** A write that gives the key up. */
    RELEASE,
    /** A removal. */
    DELETE,
    /** A new session. */
    SESSION_CREATE,
    /** A renewal of a session's time to live. */
    SESSION_RENEW,
    /** The end of a session. */
    SESSION_DESTROY;

    /** Returns what kind of write the query asks for. */
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
