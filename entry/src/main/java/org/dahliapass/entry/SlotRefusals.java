package org.dahliapass.entry;

import com.linecorp.armeria.common.util.Exceptions;
import org.dahliapass.traffic.RefusedException;

/** Maps failed slot acquisitions to refusals. */
final class SlotRefusals {

    private static final long WITHDRAWN_RETRY_AFTER_MILLIS = 1_000;

    private SlotRefusals() {}

    /** Returns the refusal for a failed slot acquisition. */
    static Refusal of(Throwable failure) {
        if (Exceptions.peel(failure) instanceof RefusedException refused) {
            return Refusal.of(codeOf(refused), refused.detail(), refused.retryAfterMillis());
        }
        return Refusal.of(
                RefusalCode.OVERLOADED, "The request was withdrawn.", WITHDRAWN_RETRY_AFTER_MILLIS);
    }

    private static RefusalCode codeOf(RefusedException refused) {
        return switch (refused.reason()) {
            case NO_TARGET -> RefusalCode.NO_TARGET;
            case OVERLOADED -> RefusalCode.OVERLOADED;
            case RATE_LIMITED -> RefusalCode.RATE_LIMITED;
        };
    }
}
