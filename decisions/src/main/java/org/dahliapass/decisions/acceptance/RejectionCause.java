package org.dahliapass.decisions.acceptance;

import java.util.Locale;

/** Why a target rejected a request without executing it. */
public enum RejectionCause {
    /** All its slots are taken. */
    FULL,
    /** It sheds requests although it has slots free. */
    SHEDDING,
    /** It names a request limit. */
    LIMITED,
    /** It asked for a rest or is leaving. */
    RESTING,
    /** It is probably in a failure period. */
    FAILING;

    /** Returns the value of the label of metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
