package org.dahliapass.entry;

import com.linecorp.armeria.common.util.Exceptions;
import org.dahliapass.decisions.traffic.Admission;
import org.dahliapass.decisions.traffic.RefusalReason;
import org.dahliapass.kernel.StepException;

/** No slot was given; holds the caller's answer. */
public final class RefusedException extends StepException {
    private static final long serialVersionUID = 1L;

    /** What a caller waits whose request was taken back on its way, in milliseconds. */
    private static final long WITHDRAWN_WAIT_MILLIS = 1_000;

    private final transient Refusal mRefusal;

    RefusedException(Refusal refusal) {
        super("admit", "self", refusal.message());
        mRefusal = refusal;
    }

    /** Returns the failure of a request that the queue refused. */
    static RefusedException of(Admission.Refused refused) {
        RefusalCode code =
                refused.reason() == RefusalReason.NO_TARGET
                        ? RefusalCode.NO_TARGET
                        : RefusalCode.OVERLOADED;
        String message =
                switch (refused.reason()) {
                    case NO_TARGET -> "No target of the service takes work of this kind now.";
                    case QUEUE_FULL -> "The queue, or this customer's part of it, is full.";
                    case TOO_LATE -> "No slot comes free in time, by the rate measured now.";
                    case WAITED_OUT -> "No slot came free within the kind's patience.";
                };
        return new RefusedException(Refusal.of(code, message, refused.retryAfterMillis()));
    }

    /** Returns the failure of a request beyond its template's rate. */
    static RefusedException rateLimited(long waitMillis) {
        return new RefusedException(
                Refusal.of(
                        RefusalCode.RATE_LIMITED,
                        "More requests of this kind than the template's rate allows.",
                        waitMillis));
    }

    /** Returns the caller's answer for a slot that was not given. */
    static Refusal refusalOf(Throwable failure) {
        if (Exceptions.peel(failure) instanceof RefusedException refused) {
            return refused.refusal();
        }
        return Refusal.of(
                RefusalCode.OVERLOADED, "The request was withdrawn.", WITHDRAWN_WAIT_MILLIS);
    }

    /** Returns the caller's answer. */
    public Refusal refusal() {
        return mRefusal;
    }
}
