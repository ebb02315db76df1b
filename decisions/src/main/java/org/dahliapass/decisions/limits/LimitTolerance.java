package org.dahliapass.decisions.limits;

import org.dahliapass.model.routing.RateLimit;

/**
 * By how much the requests of a customer may exceed its limit in any window.
 *
 * <p>A part is granted to the VMs, so that a customer below its limit isn't refused because its
 * requests are spread unevenly. The rest absorbs VMs whose views of the fleet differ.
 *
 * @param share the tolerated excess as a share of the limit
 * @param requests the tolerated excess in requests, in addition
 * @param windowSeconds the length of a window, in seconds
 */
public record LimitTolerance(double share, double requests, double windowSeconds) {
    /** The part of the tolerated share that is granted. */
    private static final double GRANTED_SHARE = 0.4;

    /** The part of the tolerated requests that is granted as additional burst. */
    private static final double BURST_PART = 0.4;

    /** The part of the tolerated requests that is granted as additional rate. */
    private static final double RATE_PART = 0.3;

    /** Returns the limit that the VMs enforce together. */
    RateLimit enforced(RateLimit limit) {
        double factor = 1 + share * GRANTED_SHARE;
        return new RateLimit(
                limit.requestsPerSecond() * factor + requests * RATE_PART / windowSeconds,
                limit.burst() * factor + requests * BURST_PART);
    }
}
