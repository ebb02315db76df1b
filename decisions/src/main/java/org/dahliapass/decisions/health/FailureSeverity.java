package org.dahliapass.decisions.health;

import org.dahliapass.model.DetectionPolicy;

/**
 * The alternative hypotheses about the failure rate of a faulty target.
 *
 * <p>A test for a small failure rate needs many samples, and a test for a large failure rate misses
 * small ones. Testing both detects either quickly at the cost of a slightly higher bound.
 */
enum FailureSeverity {
    /** Fails the template's failure share of the requests. */
    PARTIAL {
        @Override
        double failureShare(DetectionPolicy policy) {
            return policy.failureShare();
        }
    },
    /** Fails most of the requests. */
    SEVERE {
        @Override
        double failureShare(DetectionPolicy policy) {
            return Math.max(SEVERE_SHARE, policy.failureShare());
        }
    };

    private static final double SEVERE_SHARE = 0.7;

    /** Returns the failure rate of a faulty target in addition to the rate of its peers, 0 to 1. */
    abstract double failureShare(DetectionPolicy policy);
}
