package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpStatus;

/** Why a request is refused, and what the caller may conclude from it. */
public enum RefusalCode {
    /** The path names no service of the customer. */
    NO_SUCH_SERVICE(HttpStatus.NOT_FOUND, Outcome.NOT_RUN, false),
    /** The template has no kind for this method and path. */
    NO_SUCH_KIND(HttpStatus.NOT_FOUND, Outcome.NOT_RUN, false),
    /** The request's body is larger than the template allows. */
    BODY_TOO_LARGE(HttpStatus.REQUEST_ENTITY_TOO_LARGE, Outcome.NOT_RUN, false),
    /** The customer sends more requests than its template allows. */
    RATE_LIMITED(HttpStatus.TOO_MANY_REQUESTS, Outcome.NOT_RUN, true),
    /** No slot will be free in time. */
    OVERLOADED(HttpStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, true),
    /** No target can take the request. */
    NO_TARGET(HttpStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, true),
    /** This VM is stopping, or has no configuration yet, or may have an old one. */
    NOT_SERVING(HttpStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, true),
    /** A guarded request came without a key that begins with a token. */
    KEY_REQUIRED(HttpStatus.PRECONDITION_REQUIRED, Outcome.NOT_RUN, false),
    /** The key was used for another request. */
    KEY_MISMATCH(HttpStatus.UNPROCESSABLE_ENTITY, Outcome.UNKNOWN, false),
    /** The operation of this key is running. */
    IN_PROGRESS(HttpStatus.CONFLICT, Outcome.RUNNING, true),
    /** The operation of this key was not run and never will be. */
    OPERATION_NOT_RUN(HttpStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, true),
    /** Whether the operation of this key ran can't be told now. */
    OPERATION_UNKNOWN(HttpStatus.GATEWAY_TIMEOUT, Outcome.UNKNOWN, true),
    /** All tries of an idempotent request failed. */
    TARGET_FAILED(HttpStatus.BAD_GATEWAY, Outcome.UNKNOWN, true),
    /** The deadline passed before an answer began. */
    DEADLINE_EXCEEDED(HttpStatus.GATEWAY_TIMEOUT, Outcome.UNKNOWN, true),
    /** A forwarded request reached a VM that doesn't serve the service either. */
    WRONG_VM(HttpStatus.MISDIRECTED_REQUEST, Outcome.NOT_RUN, true);

    /** What a caller may conclude about the request. */
    public enum Outcome {
        /** It was not run. */
        NOT_RUN("not-run"),
        /** It is running now. */
        RUNNING("running"),
        /** It may have run. */
        UNKNOWN("unknown");

        private final String mText;

        Outcome(String text) {
            mText = text;
        }

        /** Returns the value of the {@code X-Outcome} header. */
        public String text() {
            return mText;
        }
    }

    private final int mStatus;
    private final Outcome mOutcome;
    private final boolean mRetryable;

    RefusalCode(HttpStatus status, Outcome outcome, boolean retryAfter) {
        mStatus = status.code();
        mOutcome = outcome;
        mRetryable = retryAfter;
    }

    /** Returns the HTTP status. */
    public HttpStatus status() {
        return HttpStatus.valueOf(mStatus);
    }

    /** Returns what the caller may conclude. */
    public Outcome outcome() {
        return mOutcome;
    }

    /** Returns whether asking again later makes sense, so that Retry-After is sent. */
    public boolean isRetryable() {
        return mRetryable;
    }
}
