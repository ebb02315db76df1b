package org.dahliapass.lab.policy;

/** Who decides which targets get work. */
enum PolicyVariant {
    /** The production decisions. */
    CELL("cell") {
        @Override
        Selector create(Deployment deployment, int vm) {
            return new HealthSelector(deployment, vm, true);
        }
    },
    /** The production decisions, each VM on its own evidence. */
    OWN_EVIDENCE("own") {
        @Override
        Selector create(Deployment deployment, int vm) {
            return new HealthSelector(deployment, vm, false);
        }
    },
    /** Three failures in a row, targets in turn. */
    CONSECUTIVE_FAILURES("three") {
        @Override
        Selector create(Deployment deployment, int vm) {
            return new ConsecutiveFailuresSelector(deployment, vm);
        }
    },
    /** Probes only. */
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
