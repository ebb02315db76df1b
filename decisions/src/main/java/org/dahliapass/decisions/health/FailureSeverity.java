package org.dahliapass.decisions.health;

import org.dahliapass.model.DetectionPolicy;

/**
 * How much a sick target may fail: the test asks for each whether it explains the work better.
 *
 * <p>A test for a small share needs many failures, a test for a large one overlooks a small share;
 * the two together find both fast, at the price of a slightly higher bound.
 */
enum FailureSeverity {
    /** It fails the template's share of the work. */
    PARTIAL {
        @Override
        double failureShare(DetectionPolicy policy) {
            return policy.failureShare();
        }
    },
    /** It fails most of the work. */
    SEVERE {
        @Override
        double failureShare(DetectionPolicy policy) {
            return Math.max(SEVERE_SHARE, policy.failureShare());
        }
    };

    private static final double SEVERE_SHARE = 0.7;

    /** Returns the share of work, beyond the peers' rate, that a sick target fails. */
    abstract double failureShare(DetectionPolicy policy);
}
