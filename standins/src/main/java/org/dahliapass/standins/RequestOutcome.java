package org.dahliapass.standins;

import java.util.random.RandomGenerator;

/** How one request for work ends at a target. */
enum RequestOutcome {
    /** It runs and is answered whole. */
    COMPLETE,
    /** It never runs; status 500. */
    FAIL_BEFORE_RUN,
    /** It runs; status 500. */
    FAIL_AFTER_RUN,
    /** It runs and is never answered. */
    STALL,
    /** It runs; its answer ends after half of the body. */
    CLOSE_EARLY;

    /** Draws an outcome under the faults in force. */
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
