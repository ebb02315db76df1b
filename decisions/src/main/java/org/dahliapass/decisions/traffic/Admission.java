package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/** What happens to a request that asked for a slot. */
public sealed interface Admission {
    /**
     * It goes to a target now; its slot is taken.
     *
     * @param target the target
     */
    record Dispatch(Endpoint target) implements Admission {}

    /** It waits; a later call returns it as dispatched or expired. */
    record Queued() implements Admission {}

    /**
     * It is refused at once and was not run.
     *
     * @param reason why
     * @param retryAfterMillis when the caller may come back, in milliseconds from now
     */
    record Refused(RefusalReason reason, long retryAfterMillis) implements Admission {}
}
