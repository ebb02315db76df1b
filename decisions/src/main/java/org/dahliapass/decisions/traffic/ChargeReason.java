package org.dahliapass.decisions.traffic;

import java.util.Locale;

/** Why the retry budget of a service is charged. */
public enum ChargeReason {
    /** A failed request is sent to another target. */
    RETRY,
    /** A failed request is queued again, since no target has a free slot for it. */
    QUEUED_RETRY,
    /** A request arrived at an instance that another one had replaced. */
    REPLACED_TARGET,
    /** A request that this VM can't serve, and that may have reached a target, is passed on. */
    PASSED_ON,
    /** A request is sent to a second target beside a slow attempt. */
    HEDGE,
    /** A slow attempt is aborted, and its request is queued again. */
    LOST_ATTEMPT;

    /** Returns the reason as logs and metrics name it. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
