package org.dahliapass.lab.policy;

/** A variant of the policy that selects targets. */
enum PolicyVariant {
    /** The production policy. */
    CELL("cell") {
        @Override
        Selector create(Deployment deployment, int vm) {
            return new HealthSelector(deployment, vm, true);
        }
    },
    /** The production policy without evidence from other VMs. */
    OWN_EVIDENCE("own") {
        @Override
        Selector create(Deployment deployment, int vm) {
            return new HealthSelector(deployment, vm, false);
        }
    },
    /** Ejection after consecutive failures, with round robin. */
    CONSECUTIVE_FAILURES("three") {
        @Override
        Selector create(Deployment deployment, int vm) {
            return new ConsecutiveFailuresSelector(deployment, vm);
        }
    },
    /** Ejection by probes only. */
    PROBES("probes") {
        @Override
        Selector create(Deployment deployment, int vm) {
            return new ProbeSelector(deployment, vm);
        }
    };

    private final String mTitle;

    PolicyVariant(String title) {
        mTitle = title;
    }

    String title() {
        return mTitle;
    }

    abstract Selector create(Deployment deployment, int vm);
}
