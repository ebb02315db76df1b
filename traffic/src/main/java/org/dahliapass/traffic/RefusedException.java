package org.dahliapass.traffic;

import org.dahliapass.decisions.traffic.Admission;
import org.dahliapass.decisions.traffic.RefusalReason;
import org.dahliapass.kernel.OperationException;

/** No slot was given. */
public final class RefusedException extends OperationException {
    private static final long serialVersionUID = 1L;

    private final Reason mReason;
    private final String mProblem;
    private final long mRetryAfterMillis;

    /** Why no slot was given. */
    public enum Reason {
        /** No target takes work of this kind. */
        NO_TARGET,
        /** No slot comes free in time. */
        OVERLOADED,
        /** The customer sends more than its rate. */
        RATE_LIMITED
    }

    private RefusedException(Reason reason, String message, long retryAfterMillis) {
        super("admit", "self", message);
        mReason = reason;
        mProblem = message;
        mRetryAfterMillis = retryAfterMillis;
    }

    /** Returns the failure of a request that the queue refused. */
    static RefusedException of(Admission.Refused refused) {
        Reason reason =
                refused.reason() == RefusalReason.NO_TARGET ? Reason.NO_TARGET : Reason.OVERLOADED;
        String message =
                switch (refused.reason()) {
                    case NO_TARGET -> "No target of the service takes work of this kind now.";
                    case QUEUE_FULL -> "The queue, or this customer's part of it, is full.";
                    case TOO_LATE -> "No slot comes free in time, by the rate measured now.";
                    case WAIT_TIMED_OUT -> "No slot came free within the kind's patience.";
                };
        return new RefusedException(reason, message, refused.retryAfterMillis());
    }

    /** Returns the failure of a request beyond its template's rate. */
    static RefusedException rateLimited(long waitMillis) {
        return new RefusedException(
                Reason.RATE_LIMITED,
                "More requests of this kind than the template's rate allows.",
                waitMillis);
    }

    /** Returns why no slot was given. */
    public Reason reason() {
        return mReason;
    }

    /** Returns what is wrong, without the step and the peer. */
    public String detail() {
        return mProblem;
    }

    /** Returns when the caller may come back, in milliseconds. */
    public long retryAfterMillis() {
        return mRetryAfterMillis;
    }
}
