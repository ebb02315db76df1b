package org.dahliapass.report;

import java.time.Duration;

/** The steps of time into which the plots divide the last six hours, by age. */
final class ReportTimeline {
    /** The length of a step. */
    static final long STEP_MILLIS = Duration.ofMinutes(5).toMillis();

    /** The number of steps. */
    static final int STEP_COUNT = (int) (BurnWindow.SIX_HOURS.millis() / STEP_MILLIS);

    private ReportTimeline() {}

    /** Returns the age at which a step begins; step 0 is the oldest. */
    static long maxAgeMillis(int step) {
        return (STEP_COUNT - step) * STEP_MILLIS;
    }

    /** Returns the age at which a step ends. */
    static long minAgeMillis(int step) {
        return maxAgeMillis(step) - STEP_MILLIS;
    }
}
