package org.dahliapass.report;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** Assesses the burn rates of one request kind; declared from worst to best. */
enum Verdict {
    /** A 30-day budget is consumed in about two days; requires immediate attention. */
    FAST_BURN("fast burn") {
        @Override
        boolean matches(WindowBurns burns) {
            return burns.exceeds(BurnWindow.FIVE_MINUTES, FAST_BURN_THRESHOLD)
                    && burns.exceeds(BurnWindow.ONE_HOUR, FAST_BURN_THRESHOLD);
        }
    },
    /** A 30-day budget is consumed in about five days; requires attention the same day. */
    SLOW_BURN("slow burn") {
        @Override
        boolean matches(WindowBurns burns) {
            return burns.exceeds(BurnWindow.THIRTY_MINUTES, SLOW_BURN_THRESHOLD)
                    && burns.exceeds(BurnWindow.SIX_HOURS, SLOW_BURN_THRESHOLD);
        }
    },
    /** The budget of the last six hours is exceeded, but no alert condition is met. */
    OVER_BUDGET("over budget") {
        @Override
        boolean matches(WindowBurns burns) {
            return burns.exceeds(BurnWindow.SIX_HOURS, 1);
        }
    },
    /** The objective was met over the last six hours. */
    WITHIN_BUDGET("within budget") {
        @Override
        boolean matches(WindowBurns burns) {
            return burns.of(BurnWindow.SIX_HOURS).burnRate().isPresent();
        }
    },
    /** No requests were counted in the last six hours. */
    NO_REQUESTS("no requests") {
        @Override
        boolean matches(WindowBurns burns) {
            return true;
        }
    };

    /** Alert threshold for a fast burn: 2% of a 30-day budget in one hour. */
    static final double FAST_BURN_THRESHOLD = 14.4;

    /** Alert threshold for a slow burn: 5% of a 30-day budget in six hours. */
    static final double SLOW_BURN_THRESHOLD = 6;

    private final String mLabel;

    Verdict(String label) {
        mLabel = label;
    }

    /** Returns the worst verdict that matches the burn rates. */
    static Verdict of(WindowBurns burns) {
        return Arrays.stream(values())
                .filter(verdict -> verdict.matches(burns))
                .findFirst()
                .orElse(NO_REQUESTS);
    }

    /** Returns the label used in reports. */
    @JsonValue
    String label() {
        return mLabel;
    }

    abstract boolean matches(WindowBurns burns);
}
