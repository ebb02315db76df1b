package org.dahliapass.traffic;

import org.dahliapass.decisions.traffic.Admission;
import org.dahliapass.decisions.traffic.RefusalReason;
import org.dahliapass.kernel.OperationException;

/** Thrown if a request is refused before it gets a slot at a target. */
public final class RefusedException extends OperationException {
    private static final long serialVersionUID = 1L;

    private final Reason mReason;
    private final String mDetail;
    private final long mRetryAfterMillis;

    /** Why a request was refused. */
    public enum Reason {
        /** No target accepts requests of this kind. */
        NO_TARGET,
        /** No slot becomes free in time. */
        OVERLOADED,
        /** The customer exceeds its rate limit. */
        RATE_LIMITED
    }

    private RefusedException(Reason reason, String message, long retryAfterMillis) {
        super("admit", "self", message);
        mReason = reason;
        mDetail = message;
        mRetryAfterMillis = retryAfterMillis;
    }

    /** Returns the exception for a request that the admission queue refused. */
    static RefusedException of(Admission.Refused refused) {
        Reason reason =
                refused.reason() == RefusalReason.NO_TARGET ? Reason.NO_TARGET : Reason.OVERLOADED;
        String message =
                switch (refused.reason()) {
                    case TARGETS_RESTING ->
                            "The targets have asked for a rest and take no requests until it ends.";
                    case TARGETS_LIMITED ->
                            "The targets take no more requests now, by their limits.";
                    case NO_TARGET -> "No target of the service takes work of this kind now.";
                    case QUEUE_FULL -> "The queue, or this customer's part of it, is full.";
                    case DISPLACED -> "A request of a higher priority has taken its place.";
                    case TOO_LATE -> "No slot comes free in time, by the rate measured now.";
                    case WAIT_TIMED_OUT -> "No slot came free within the kind's patience.";
                };
        return new RefusedException(reason, message, refused.retryAfterMillis());
    }

    /** Returns the exception for a request that exceeds its template's rate limit. */
    static RefusedException rateLimited(long waitMillis) {
        return new RefusedException(
                Reason.RATE_LIMITED,
                "More requests of this kind than the template's rate allows.",
                waitMillis);
    }

    /** Returns why the request was refused. */
    public Reason reason() {
        return mReason;
    }

    /** Returns the message without the operation and the peer. */
    public String detail() {
        return mDetail;
    }

    /** Returns when the caller may retry, in milliseconds from now. */
    public long retryAfterMillis() {
        return mRetryAfterMillis;
    }
}
