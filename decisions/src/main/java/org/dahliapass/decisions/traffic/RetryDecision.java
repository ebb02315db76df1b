package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/** Whether a failed request is retried. */
public sealed interface RetryDecision {
    /**
     * The request is retried at this target; its slot is acquired and the budget charged.
     *
     * @param target the target
     */
    record Retry(Endpoint target) implements RetryDecision {}

    /**
     * The request isn't retried and the caller gets its final response.
     *
     * @param reason why
     */
    record Stop(StopReason reason) implements RetryDecision {}

    /** Why a request isn't retried. */
    enum StopReason {
        /** The caller no longer waits for a response. */
        CALLER_GONE,
        /** The kind allows no retries. */
        NOT_RETRYABLE,
        /** An attempt may have run, and the kind must not run twice. */
        MAY_HAVE_RUN,
        /** The maximum number of attempts is reached. */
        ATTEMPTS_EXHAUSTED,
        /** No response would arrive before the deadline. */
        TOO_LATE,
        /** Requests are queued, so a retry would add to an overload. */
        OVERLOADED,
        /** The service's retry budget is exhausted. */
        BUDGET_EXHAUSTED,
        /** No other target has a free slot. */
        NO_TARGET
    }
}
