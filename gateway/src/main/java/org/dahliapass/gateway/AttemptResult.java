package org.dahliapass.gateway;

import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.model.Endpoint;

/** How the offer of a request to one target ended. */
sealed interface AttemptResult {
    /** Returns the target. */
    Endpoint target();

    /**
     * The target's own answer, whole, or so large that the rest follows as it comes.
     *
     * @param target the target
     * @param status its status
     * @param response the answer for the caller
     */
    record Responded(Endpoint target, int status, CallerResponse response)
            implements AttemptResult {
        /** Returns whether the target has sent all of it. */
        boolean isComplete() {
            return response instanceof CallerResponse.Buffered;
        }
    }

    /**
     * No answer that may be passed on.
     *
     * @param target the target
     * @param kind what the failure proves
     * @param cause what happened
     */
    record Failed(Endpoint target, FailureKind kind, String cause) implements AttemptResult {}
}
