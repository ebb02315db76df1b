package org.dahliapass.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Set;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.platform.TargetHeaders;

/** The verdict on the head of a response: its origin and whether the request was executed. */
enum ResponseCheck {
    /** A response of the target to this request. */
    VALID(null, ""),
    /** The target states that it did not execute this request. */
    NOT_EXECUTED(FailureKind.REFUSED_NOT_PROCESSED, "the target did not execute the request"),
    /**
     * A response to another request, or of unknown origin. Occurs when a target sends a response
     * twice: the second copy is read as the response to the next request on the connection.
     */
    MISMATCHED(FailureKind.RESET_AFTER_SEND, "the response has the attempt id of another request"),
    /**
     * A response that no target of this fleet sends: without a signature, or with an encoded body.
     */
    INVALID(
            FailureKind.RESET_AFTER_SEND,
            "the response lacks the attempt id or the target signature, or its body is encoded");

    private static final int MISDIRECTED_REQUEST = 421;

    /** The statuses that may state that a request was not executed. */
    private static final Set<Integer> REFUSAL_STATUSES = Set.of(503, 429, 421, 400);

    private final FailureKind mFailure;
    private final String mCause;

    ResponseCheck(FailureKind failure, String cause) {
        mFailure = failure;
        mCause = cause;
    }

    /** Returns the failure to report if the response is not valid. */
    FailureKind failureKind() {
        return mFailure;
    }

    /** Returns whether the response is from the target instance that the request names. */
    boolean isFromExpectedTarget(int status) {
        return this == VALID || (this == NOT_EXECUTED && status != MISDIRECTED_REQUEST);
    }

    /**
     * Returns whether another instance responded, which proves that the one that the request names
     * is not at the address.
     */
    boolean isFromOtherInstance(int status) {
        return this == NOT_EXECUTED && status == MISDIRECTED_REQUEST;
    }

    /** Returns the reason if the response is not valid. */
    String cause() {
        return mCause;
    }

    /**
     * Checks the head of a response.
     *
     * @param status the HTTP status
     * @param headers the headers of the response
     * @param id the attempt id of the pending request on this connection
     */
    static ResponseCheck of(int status, HttpHeaders headers, String id) {
        String receivedId = headers.get(TargetHeaders.ATTEMPT_ID);
        if (receivedId == null) {
            // Not even a refusal proves anything: it may be a copy of one to an earlier request.
            return INVALID;
        }
        if (!receivedId.equals(id)) {
            return MISMATCHED;
        }
        boolean refused =
                REFUSAL_STATUSES.contains(status) && headers.contains(TargetHeaders.NOT_EXECUTED);
        if (refused || status == MISDIRECTED_REQUEST) {
            return NOT_EXECUTED;
        }
        boolean signed = headers.contains(TargetHeaders.SIGNATURE);
        boolean encoded = headers.contains(HttpHeaderNames.CONTENT_ENCODING);
        return !signed || encoded ? INVALID : VALID;
    }
}
