package org.dahliapass.report;

import java.time.Duration;

/** The time steps of the plots over the last six hours, oldest first. */
final class ReportTimeline {
    static final long STEP_MILLIS = Duration.ofMinutes(5).toMillis();

    static final int STEP_COUNT = (int) (BurnWindow.SIX_HOURS.millis() / STEP_MILLIS);

    private ReportTimeline() {}

    /** Returns the age of a step's start, in milliseconds; step 0 is the oldest. */
    static long maxAgeMillis(int step) {
        return (STEP_COUNT - step) * STEP_MILLIS;
    }

    /** Returns the age of a step's end, in milliseconds. */
    static long minAgeMillis(int step) {
        return maxAgeMillis(step) - STEP_MILLIS;
    }
}
