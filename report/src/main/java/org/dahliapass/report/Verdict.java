package org.dahliapass.report;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** What the burn rates of one request kind mean. Declared from the worst to the best. */
enum Verdict {
    /** The budget of a month would be gone in two days: a person should look now. */
    FAST_BURN("fast burn") {
        @Override
        boolean matches(WindowBurns burns) {
            return burns.exceeds(BurnWindow.FIVE_MINUTES, FAST_BURN_THRESHOLD)
                    && burns.exceeds(BurnWindow.ONE_HOUR, FAST_BURN_THRESHOLD);
        }
    },
    /** The budget of a month would be gone in five days: a person should look today. */
    SLOW_BURN("slow burn") {
        @Override
        boolean matches(WindowBurns burns) {
            return burns.exceeds(BurnWindow.THIRTY_MINUTES, SLOW_BURN_THRESHOLD)
                    && burns.exceeds(BurnWindow.SIX_HOURS, SLOW_BURN_THRESHOLD);
        }
    },
    /** More was spent in six hours than the objective allows, but too little for an alarm. */
    OVER_BUDGET("over budget") {
        @Override
        boolean matches(WindowBurns burns) {
            return burns.exceeds(BurnWindow.SIX_HOURS, 1);
        }
    },
    /** The objective was kept over six hours. */
    WITHIN_BUDGET("within budget") {
        @Override
        boolean matches(WindowBurns burns) {
            return burns.of(BurnWindow.SIX_HOURS).burnRate().isPresent();
        }
    },
    /** There was no request, so nothing can be said. */
    NO_REQUESTS("no requests") {
        @Override
        boolean matches(WindowBurns burns) {
            return true;
        }
    };

    /** Burn rate that raises the fast alarm: 2% of a 30-day budget in an hour. */
    static final double FAST_BURN_THRESHOLD = 14.4;

    /** Burn rate that raises the slow alarm: 5% of a 30-day budget in six hours. */
    static final double SLOW_BURN_THRESHOLD = 6;

    private final String mLabel;

    Verdict(String label) {
        mLabel = label;
    }

    /** Returns the worst verdict that applies. */
    static Verdict of(WindowBurns burns) {
        return Arrays.stream(values())
                .filter(verdict -> verdict.matches(burns))
                .findFirst()
                .orElse(NO_REQUESTS);
    }

    /** Returns how the verdict is written. */
    @JsonValue
    String label() {
        return mLabel;
    }

    abstract boolean matches(WindowBurns burns);
}
