package org.dahliapass.lab.policy;

import org.dahliapass.decisions.health.HealthReport;

/** The faults that the table covers; each is in force from its start to the end of a run. */
enum Fault {
    /** Nothing is wrong: whatever is taken out is taken out wrongly. */
    NONE("none"),
    /** All targets stop for a moment now and then, each at its own time. */
    SHORT_PAUSES("pauses of 0.5 s, all targets") {
        @Override
        Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
            long phase = (sinceMillis + target * 733L) % 15_000;
            return phase < 500 ? Condition.stalled(500 - phase) : Condition.HEALTHY;
        }
    },
    /** One target's process is gone. */
    HARD_STOP("hard stop", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.STOPPED;
        }
    },
    /** One target fails a tenth of its work and answers probes. */
    FAILS_TENTH("fails 10%, probes answered", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.failing(0.1);
        }
    },
    /** One target fails half of its work and answers probes. */
    FAILS_HALF("fails 50%, probes answered", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.failing(0.5);
        }
    },
    /** One target fails all of its work and answers probes. */
    FAILS_ALL("fails 100%, probes answered", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.failing(1);
        }
    },
    /** One target takes three times as long. */
    SLOW_THREEFOLD("slowed 3x", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.slowed(3);
        }

        @Override
        double detectedAtWeight() {
            return STRAGGLER_WEIGHT;
        }
    },
    /** One target takes ten times as long. */
    SLOW_TENFOLD("slowed 10x", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return Condition.slowed(10);
        }

        @Override
        double detectedAtWeight() {
            return STRAGGLER_WEIGHT;
        }
    },
    /** One target fails all work for a second, is well for a second, and so on. */
    FLAPS_FAST("flaps, 1 s each way", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return sinceMillis / 1_000 % 2 == 0 ? Condition.failing(1) : Condition.HEALTHY;
        }
    },
    /** One target fails all work for five seconds, is well for five, and so on. */
    FLAPS_SLOWLY("flaps, 5 s each way", 1) {
        @Override
        Condition faultyCondition(long sinceMillis) {
            return sinceMillis / 5_000 % 2 == 0 ? Condition.failing(1) : Condition.HEALTHY;
        }
    },
    /** One VM gets no answer from the targets of one zone. */
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
    /** One VM gets no answer from one target. */
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
    /** The VMs of one zone get no answer from the targets of another. */
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
    /** A third of the targets say that they are sick while they work well. */
    FALSE_REPORTS("a third report sickness falsely") {
        @Override
        Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
            return target % Deployment.ZONES == 1
                    ? Condition.reporting(HealthReport.UNHEALTHY, 1)
                    : Condition.HEALTHY;
        }
    },
    /** Something behind all targets makes them slow. */
    ALL_SLOW("all slowed 3x at once") {
        @Override
        Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
            return Condition.slowed(3);
        }
    },
    /** Something behind all targets makes part of the work fail. */
    ALL_FAIL("all fail 30% at once") {
        @Override
        Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
            return Condition.failing(0.3);
        }
    },
    /** As many targets fail as the floor lets out, and two more. */
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
    /** All targets were restarted: they are slow at first and say so. */
    MASS_COLD_START("mass cold start") {
        @Override
        Condition condition(Deployment deployment, int vm, int target, long sinceMillis) {
            return sinceMillis < 5_000 + 200L * target
                    ? Condition.reporting(HealthReport.COLD, 4)
                    : Condition.HEALTHY;
        }
    },
    /** One VM of the cell is lost; its callers go to the others. */
    VM_LOST("a VM lost") {
        @Override
        boolean isVmLost(int vm) {
            return vm == 0;
        }
    },
    /** A zone is lost with its VMs and targets. */
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

    /** A straggler counts as found once it gets at most half of its share. */
    private static final double STRAGGLER_WEIGHT = 0.5;

    private final String mTitle;
    private final int mSickTargets;

    Fault(String title) {
        this(title, 0);
    }

    Fault(String title, int sickTargets) {
        mTitle = title;
        mSickTargets = sickTargets;
    }

    String title() {
        return mTitle;
    }

    /** Returns whether one target alone is sick. */
    boolean affectsSingleTarget() {
        return mSickTargets == 1;
    }

    /** Returns whether the target should get nothing from this VM while the fault lasts. */
    boolean isFaulty(Deployment deployment, int vm, int target) {
        return target < mSickTargets;
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

    /** Returns the weight from which down a sick target counts as found. */
    double detectedAtWeight() {
        return 0;
    }
}
