package org.dahliapass.report;

import java.util.List;
import java.util.Locale;
import org.dahliapass.model.burn.Outcome;

/** The labels and colours of request outcomes. */
final class OutcomeStyle {
    /** The outcomes other than good, in stacking order of the plots. */
    static final List<Outcome> NOT_GOOD =
            List.of(Outcome.FAILED, Outcome.CUT, Outcome.UNKNOWN, Outcome.REFUSED, Outcome.LATE);

    private OutcomeStyle() {}

    static String label(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT);
    }

    static String colour(Outcome outcome) {
        return switch (outcome) {
            case GOOD -> "#2e7d32";
            case FAILED -> "#b3261e";
            case CUT -> "#e57373";
            case UNKNOWN -> "#5b4b8a";
            case REFUSED -> "#1f77b4";
            case LATE -> "#e0a100";
        };
    }
}
