package org.dahliapass.standins;

import java.util.random.RandomGenerator;

/** The outcome of a request at a target. */
enum RequestOutcome {
    /** The request is executed and gets a complete response. */
    COMPLETE,
    /** The request fails with status 500 without being executed. */
    FAIL_BEFORE_RUN,
    /** The request is executed but fails with status 500. */
    FAIL_AFTER_RUN,
    /** The request is executed but never gets a response. */
    STALL,
    /** The request is executed; the response ends after half of the body. */
    CLOSE_EARLY;

    /** Returns a random outcome under the active faults. */
    static RequestOutcome draw(TargetFaults faults, RandomGenerator random) {
        if (faults.stall()) {
            return STALL;
        }
        if (random.nextDouble() < faults.failShare()) {
            return faults.failAfterRun() ? FAIL_AFTER_RUN : FAIL_BEFORE_RUN;
        }
        return faults.closeEarly() ? CLOSE_EARLY : COMPLETE;
    }
}
