package org.dahliapass.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Set;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.platform.TargetHeaders;

/** What the head of an answer says of its origin and of the request. */
enum ResponseCheck {
    /** The target's own answer to this request. */
    VALID(null, ""),
    /** The target states that it didn't run this request. */
    NOT_EXECUTED(FailureKind.REFUSED_NOT_PROCESSED, "the target states that it did not run it"),
    /**
     * The answer to another request, or bytes of unknown origin. Shows when a target sends an
     * answer twice: the second one is taken for the answer to the next request on the connection.
     */
    MISMATCHED(FailureKind.RESET_AFTER_SEND, "the answer names another request"),
    /** An answer that a target of this fleet doesn't make: no signature, or an encoded body. */
    INVALID(FailureKind.RESET_AFTER_SEND, "the answer has no signature of a target");

    private static final int MISDIRECTED = 421;

    /** The statuses with which a target may state that it didn't run a request. */
    private static final Set<Integer> REFUSALS = Set.of(503, 429, 421, 400);

    private final FailureKind mFailure;
    private final String mCause;

    ResponseCheck(FailureKind failure, String cause) {
        mFailure = failure;
        mCause = cause;
    }

    /** Returns what it proves if the answer can't be passed on. */
    FailureKind failureKind() {
        return mFailure;
    }

    /** Returns why the answer can't be passed on. */
    String cause() {
        return mCause;
    }

    /**
     * Judges the head of an answer.
     *
     * @param status the answer's status
     * @param headers its headers
     * @param id the id of the request that waits for an answer on this connection
     */
    static ResponseCheck of(int status, HttpHeaders headers, String id) {
        String named = headers.get(TargetHeaders.ATTEMPT_ID);
        if (named != null && !named.equals(id)) {
            return MISMATCHED;
        }
        boolean refused = REFUSALS.contains(status) && headers.contains(TargetHeaders.NOT_EXECUTED);
        if (refused || status == MISDIRECTED) {
            return NOT_EXECUTED;
        }
        boolean signed = headers.contains(TargetHeaders.SIGNATURE);
        boolean encoded = headers.contains(HttpHeaderNames.CONTENT_ENCODING);
        return named == null || !signed || encoded ? INVALID : VALID;
    }
}
