package org.dahliapass.decisions.limits;

import java.util.random.RandomGenerator;

/** How the VMs divide the limit of a customer among them. */
public enum LimitSharing {
    /** Every VM has the same share. */
    EVEN {
        @Override
        SharedLimits create(String self, long nowMillis, RandomGenerator random) {
            return new ShareLimits(new EvenShares(), nowMillis);
        }
    },
    /**
     * VMs tell each other the demand of customers that need more than an even share, and divide the
     * limit in proportion while they know the demand at every VM.
     */
    DEMAND {
        @Override
        SharedLimits create(String self, long nowMillis, RandomGenerator random) {
            return new ShareLimits(new DemandShares(self), nowMillis);
        }
    },
    /**
     * One VM per customer, found by rendezvous hashing, leases shares in proportion to the demand
     * at the VMs that report to it.
     */
    LEASED {
        @Override
        SharedLimits create(String self, long nowMillis, RandomGenerator random) {
            return new ShareLimits(new LeasedShares(self), nowMillis);
        }
    },
    /**
     * VMs tell each other how many requests they admitted for customers that need more than an even
     * share, and take from a common count while they know the use of every VM.
     */
    COUNTED {
        @Override
        SharedLimits create(String self, long nowMillis, RandomGenerator random) {
            return new CountedLimits(self, nowMillis, random);
        }
    };

    abstract SharedLimits create(String self, long nowMillis, RandomGenerator random);
}
