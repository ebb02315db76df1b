package org.dahliapass.lab.policy;

import org.dahliapass.decisions.health.HealthReport;

/** An injected fault, which lasts from its start to the end of the run. */
enum Fault {
    /** No fault; every ejection is false. */
    NONE("none"),
    /** All targets pause briefly at intervals, each at its own time. */
    SHORT_PAUSES("pauses of 0.5 s, all targets") {
        @Override
        Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
            long phase = (sinceMillis + target * 733L) % 15_000;
            return phase < 500 ? Condition.stalled(500 - phase) : Condition.HEALTHY;
        }
    },
    /** One target's process has stopped. */
    HARD_STOP("hard stop", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.STOPPED;
        }
    },
    /** One target fails a tenth of its requests and answers probes. */
    FAILS_TENTH("fails 10%, probes answered", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.failing(0.1);
        }
    },
    /** One target fails half of its requests and answers probes. */
    FAILS_HALF("fails 50%, probes answered", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.failing(0.5);
        }
    },
    /** One target fails all of its requests and answers probes. */
    FAILS_ALL("fails 100%, probes answered", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.failing(1);
        }
    },
    /** One target is slower by a factor of three. */
    SLOW_THREEFOLD("slowed 3x", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.slowed(3);
        }

        @Override
        double detectedAtWeight() {
            return SLOW_TARGET_WEIGHT;
        }
    },
    /** One target is slower by a factor of ten. */
    SLOW_TENFOLD("slowed 10x", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.slowed(10);
        }

        @Override
        double detectedAtWeight() {
            return SLOW_TARGET_WEIGHT;
        }
    },
    /** One target alternates between failing all requests and being healthy every second. */
    FLAPS_FAST("flaps, 1 s each way", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return sinceMillis / 1_000 % 2 == 0 ? Condition.failing(1) : Condition.HEALTHY;
        }
    },
    /** One target alternates between failing all requests and being healthy every five seconds. */
    FLAPS_SLOWLY("flaps, 5 s each way", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return sinceMillis / 5_000 % 2 == 0 ? Condition.failing(1) : Condition.HEALTHY;
        }
    },
    /** One VM gets no response from the targets of one zone. */
    VM_CUT_OFF("one VM cut off from a zone's targets") {
        @Override
        boolean isFaulty(Deployment deployment, int vm, int target) {
            return vm == 0 && target % Deployment.ZONES == 1;
        }

        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.UNREACHABLE;
        }
    },
    /** One VM gets no response from one target. */
    PATH_CUT("one VM cut off from one target") {
        @Override
        boolean isFaulty(Deployment deployment, int vm, int target) {
            return vm == 0 && target == 1;
        }

        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.UNREACHABLE;
        }
    },
    /** The VMs of one zone get no response from the targets of another. */
    ZONE_CUT_OFF("a zone's VMs cut off from a zone's targets") {
        @Override
        boolean isFaulty(Deployment deployment, int vm, int target) {
            return vm % Deployment.ZONES == 0 && target % Deployment.ZONES == 1;
        }

        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.UNREACHABLE;
        }
    },
    /** A third of the targets report that they are unhealthy while they serve normally. */
    FALSE_REPORTS("a third report sickness falsely") {
        @Override
        Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
            return target % Deployment.ZONES == 1
                    ? Condition.reporting(HealthReport.UNHEALTHY, 1)
                    : Condition.HEALTHY;
        }
    },
    /** A shared dependency slows all targets. */
    ALL_SLOW("all slowed 3x at once") {
        @Override
        Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
            return Condition.slowed(3);
        }
    },
    /** A shared dependency makes all targets fail some requests. */
    ALL_FAIL("all fail 30% at once") {
        @Override
        Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
            return Condition.failing(0.3);
        }
    },
    /** Two more targets fail than the floor allows to be ejected. */
    SEVERAL_FAIL("sick up to the floor and two more") {
        @Override
        boolean isFaulty(Deployment deployment, int vm, int target) {
            return target < deployment.targets() - deployment.floorTargets() + 2;
        }

        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.failing(1);
        }
    },
    /** All targets restart; they are slow at first and report that they are cold. */
    MASS_COLD_START("mass cold start") {
        @Override
        Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
            return sinceMillis < 5_000 + 200L * target
                    ? Condition.reporting(HealthReport.COLD, 4)
                    : Condition.HEALTHY;
        }
    },
    /** One VM is lost; its callers fail over to the others. */
    VM_LOST("a VM lost") {
        @Override
        boolean isVmLost(int vm) {
            return vm == 0;
        }
    },
    /** All VMs and targets of one zone are lost. */
    ZONE_LOST("a zone lost") {
        @Override
        boolean isVmLost(int vm) {
            return vm % Deployment.ZONES == 0;
        }

        @Override
        boolean isFaulty(Deployment deployment, int vm, int target) {
            return target % Deployment.ZONES == 0;
        }

        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.UNREACHABLE;
        }
    };

    /** The weight at or below which a slow target counts as detected. */
    private static final double SLOW_TARGET_WEIGHT = 0.5;

    private final String mTitle;
    private final int mFaultyTargets;

    Fault(String title) {
        this(title, 0);
    }

    Fault(String title, int faultyTargets) {
        mTitle = title;
        mFaultyTargets = faultyTargets;
    }

    String title() {
        return mTitle;
    }

    /** Returns whether the fault affects exactly one target. */
    boolean affectsSingleTarget() {
        return mFaultyTargets == 1;
    }

    /** Returns whether the VM should send nothing to the target during the fault. */
    boolean isFaulty(Deployment deployment, int vm, int target) {
        return target < mFaultyTargets;
    }

    Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
        return isFaulty(deployment, vm, target) ? faultyCondition(sinceMillis) : Condition.HEALTHY;
    }

    Condition faultyCondition(long sinceMillis) {
        return Condition.HEALTHY;
    }

    boolean isVmLost(int vm) {
        return false;
    }

    /** Returns the weight at or below which a faulty target counts as detected. */
    double detectedAtWeight() {
        return 0;
    }
}
