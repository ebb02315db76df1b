package org.dahliapass.decisions.limits;

import org.dahliapass.model.routing.RateLimit;

/** How far a target's request limit is used. */
public enum LimitMargin {
    /** As far as the target named it, while another target may take the request. */
    NAMED {
        @Override
        double requestsPerSecond(double limit) {
            return limit;
        }
    },
    /** Including a part of what the target tolerates beyond it, if no target has room otherwise. */
    TOLERATED {
        @Override
        double requestsPerSecond(double limit) {
            return TOLERANCE.enforced(new RateLimit(limit, 0)).requestsPerSecond();
        }
    };

    /** Half of the limit and five requests in each four seconds. */
    private static final LimitTolerance TOLERANCE = new LimitTolerance(0.5, 5, 4);

    /** Returns the rate that all VMs together use at a limit, in requests per second. */
    abstract double requestsPerSecond(double limit);
}
