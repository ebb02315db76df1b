package org.dahliapass.traffic;

import org.dahliapass.model.RequestKind;

/** What the traffic decisions need to know of a request that asks for a slot at a target. */
public interface SlotRequest {
    /** Returns the customer that sent it. */
    String customer();

    /** Returns its kind. */
    RequestKind kind();

    /** Returns when it arrived, in milliseconds. */
    long arrivalMillis();

    /** Returns when its answer is of no more use, in milliseconds. */
    long deadlineMillis();
}
