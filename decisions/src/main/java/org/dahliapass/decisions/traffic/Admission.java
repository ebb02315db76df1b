package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/** The decision of {@link AdmissionQueue} on a request for a slot. */
public sealed interface Admission {
    /**
     * The request is sent to a target now; its slot is acquired.
     *
     * @param target the target
     */
    record Dispatch(Endpoint target) implements Admission {}

    /** The request waits; a later call returns it as dispatched or expired. */
    record Queued() implements Admission {}

    /**
     * The request is refused without being run.
     *
     * @param reason why
     * @param retryAfterMillis when the caller may retry, in milliseconds from now
     */
    record Refused(RefusalReason reason, long retryAfterMillis) implements Admission {}
}
