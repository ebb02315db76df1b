package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpStatus;

/** The reason for a refusal, with its HTTP status and the outcome reported to the caller. */
public enum RefusalCode {
    /** The path names no service of the customer. */
    NO_SUCH_SERVICE(HttpStatus.NOT_FOUND, Outcome.NOT_RUN, false),
    /** The template has no kind for this method and path. */
    NO_SUCH_KIND(HttpStatus.NOT_FOUND, Outcome.NOT_RUN, false),
    /** The request's body is larger than the template allows. */
    BODY_TOO_LARGE(HttpStatus.REQUEST_ENTITY_TOO_LARGE, Outcome.NOT_RUN, false),
    /** The customer sends more requests than its template allows. */
    RATE_LIMITED(HttpStatus.TOO_MANY_REQUESTS, Outcome.NOT_RUN, true),
    /** No slot becomes free before the deadline. */
    OVERLOADED(HttpStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, true),
    /** No target is available for the request. */
    NO_TARGET(HttpStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, true),
    /** This VM is stopping, has no configuration, or may have an outdated one. */
    NOT_SERVING(HttpStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, true),
    /** An at-most-once request has no key that begins with a token. */
    KEY_REQUIRED(HttpStatus.PRECONDITION_REQUIRED, Outcome.NOT_RUN, false),
    /** The key was used for another request. */
    KEY_MISMATCH(HttpStatus.UNPROCESSABLE_ENTITY, Outcome.UNKNOWN, false),
    /** The operation of this key is running. */
    IN_PROGRESS(HttpStatus.CONFLICT, Outcome.RUNNING, true),
    /** The operation of this key did not run and never will. */
    OPERATION_NOT_RUN(HttpStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, true),
    /** It is unknown whether the operation of this key ran. */
    OPERATION_UNKNOWN(HttpStatus.GATEWAY_TIMEOUT, Outcome.UNKNOWN, true),
    /** All attempts of an idempotent request failed. */
    TARGET_FAILED(HttpStatus.BAD_GATEWAY, Outcome.UNKNOWN, true),
    /** The deadline passed before a response began. */
    DEADLINE_EXCEEDED(HttpStatus.GATEWAY_TIMEOUT, Outcome.UNKNOWN, true),
    /** A forwarded request reached a VM outside the cell of the service. */
    WRONG_VM(HttpStatus.MISDIRECTED_REQUEST, Outcome.NOT_RUN, true);

    /** Whether the operation ran, as reported to the caller. */
    public enum Outcome {
        /** It did not run. */
        NOT_RUN("not-run"),
        /** It is running. */
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

    RefusalCode(HttpStatus status, Outcome outcome, boolean retryable) {
        mStatus = status.code();
        mOutcome = outcome;
        mRetryable = retryable;
    }

    /** Returns the HTTP status of the response. */
    public HttpStatus status() {
        return HttpStatus.valueOf(mStatus);
    }

    /** Returns the outcome reported to the caller. */
    public Outcome outcome() {
        return mOutcome;
    }

    /** Returns whether the response carries a Retry-After header. */
    public boolean isRetryable() {
        return mRetryable;
    }
}
