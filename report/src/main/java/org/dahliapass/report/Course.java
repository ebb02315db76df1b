package org.dahliapass.report;

import java.time.Duration;

/** The steps of time into which the plots divide the last six hours, by age. */
final class Course {
    /** The length of a step. */
    static final long STEP_MILLIS = Duration.ofMinutes(5).toMillis();

    /** The number of steps. */
    static final int STEPS = (int) (BurnWindow.SIX_HOURS.millis() / STEP_MILLIS);

    private Course() {}

    /** Returns the age at which a step begins; step 0 is the oldest. */
    static long oldestAge(int step) {
        return (STEPS - step) * STEP_MILLIS;
    }

    /** Returns the age at which a step ends. */
    static long newestAge(int step) {
        return oldestAge(step) - STEP_MILLIS;
    }
}
