package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/** Whether a request is tried once more. */
public sealed interface RetryDecision {
    /**
     * It is tried at this target now; its slot and its part of the budget are taken.
     *
     * @param target the target
     */
    record Retry(Endpoint target) implements RetryDecision {}

    /**
     * It isn't tried again: the caller gets its final answer at once.
     *
     * @param reason why
     */
    record Stop(StopReason reason) implements RetryDecision {}

    /** Why a request isn't tried again. */
    enum StopReason {
        /** Nobody waits for the answer. */
        CALLER_GONE,
        /** The kind allows no further tries. */
        NOT_RETRYABLE,
        /** A try may have run, and the kind must not run twice. */
        MAY_HAVE_RUN,
        /** It was tried as often as any request may be. */
        ATTEMPTS_EXHAUSTED,
        /** No answer would come before the deadline. */
        TOO_LATE,
        /** Requests wait for slots, so that a further try would add to an overload. */
        OVERLOADED,
        /** The service's further tries are spent. */
        BUDGET_EXHAUSTED,
        /** No other target has a free slot. */
        NO_TARGET
    }
}
