package org.dahliapass.gateway;

import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.kernel.JsonObject;

/** One attempt to have a request executed. Confined to the traffic thread. */
interface Attempt {
    /** Returns whether bytes of the request may have been received. */
    boolean isSent();

    /** Returns whether the attempt ends when the caller disconnects, even if it was sent. */
    boolean endsWithCaller();

    /**
     * Ends the attempt and closes its connection, which tells the receiver to stop.
     *
     * @param kind the failure to record
     */
    void abort(FailureKind kind);

    /**
     * Returns the attempt as an entry of the request's line in the log.
     *
     * @param end how the attempt ended
     */
    JsonObject describe(String end);
}
