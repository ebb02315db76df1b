package org.dahliapass.entry;

import com.linecorp.armeria.common.util.Exceptions;
import org.dahliapass.traffic.RefusedException;

/** Turns slots that were not given into callers' answers. */
final class SlotRefusals {
    /** What a caller waits whose request was taken back on its way, in milliseconds. */
    private static final long WITHDRAWN_RETRY_AFTER_MILLIS = 1_000;

    private SlotRefusals() {}

    /** Returns the caller's answer for a slot that was not given. */
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
