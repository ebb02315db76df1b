package org.dahliapass.gateway;

import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.model.Endpoint;

/** The outcome of one attempt to send a request to a target. */
sealed interface AttemptResult {
    /** Returns the target. */
    Endpoint target();

    /**
     * The target's own response, either complete or streamed because of its size.
     *
     * @param target the target
     * @param status the HTTP status
     * @param response the response for the caller
     */
    record Responded(Endpoint target, int status, CallerResponse response)
            implements AttemptResult {
        /** Returns whether the target has sent the complete response. */
        boolean isComplete() {
            return response instanceof CallerResponse.Buffered;
        }
    }

    /**
     * A failed attempt, without a response that may be forwarded.
     *
     * @param target the target
     * @param kind what the failure proves about the request
     * @param cause the description for the log
     */
    record Failed(Endpoint target, FailureKind kind, String cause) implements AttemptResult {}

    /**
     * A VM that should have served the request for this one states that it was not executed.
     *
     * @param target the VM
     * @param status the HTTP status
     * @param retryAfterMillis when the caller may retry, in milliseconds; 0 if the VM named no time
     * @param isVmUnavailable whether that VM can't serve any request now
     * @param hasReachedTarget whether that VM sent the request to a target, which did not run it
     */
    record Refused(
            Endpoint target,
            int status,
            long retryAfterMillis,
            boolean isVmUnavailable,
            boolean hasReachedTarget)
            implements AttemptResult {}

    /**
     * An attempt that arrived at another instance, which has replaced the target at its address and
     * did not execute the request.
     *
     * @param target the target
     */
    record Replaced(Endpoint target) implements AttemptResult {}

    /**
     * An attempt that sent nothing, because the target has said meanwhile that it is leaving or
     * wants a rest.
     *
     * @param target the target
     */
    record Withdrawn(Endpoint target) implements AttemptResult {}

    /**
     * An attempt that sent nothing, because the caller had disconnected or its time was over.
     *
     * @param target the target
     */
    record Dropped(Endpoint target) implements AttemptResult {}
}
