package org.dahliapass.traffic;

import org.dahliapass.model.RequestKind;

/** A request for a slot at a target, as the traffic decisions need it. */
public interface SlotRequest {
    /** Returns the customer that sent the request. */
    String customer();

    /** Returns the request's kind. */
    RequestKind kind();

    /** Returns when the request arrived, in milliseconds. */
    long arrivalMillis();

    /** Returns the request's deadline, in milliseconds. */
    long deadlineMillis();

    /** Returns the request's priority; 0 is the highest. */
    default int priority() {
        return 0;
    }
}
