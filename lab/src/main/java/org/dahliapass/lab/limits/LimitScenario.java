package org.dahliapass.lab.limits;

import java.util.List;
import java.util.Locale;
import org.dahliapass.model.routing.RateLimit;

/** A course of demand and failures that a customer's limit has to withstand. */
public enum LimitScenario {
    /** Sixty percent of the limit at all VMs. */
    STEADY_BELOW(0.6),
    /** Nine tenths of the limit at all VMs. */
    NEAR_LIMIT(0.9),
    /** Three times the limit at all VMs. */
    STEADY_ABOVE(3),
    /** A customer at 55% of its limit that sends 7.5 times as much for 6.5 s. */
    HOT_CUSTOMER(0.55) {
        @Override
        double demand(int vm, int vms, double seconds) {
            double factor = seconds >= EVENT && seconds < EVENT + 6.5 ? 7.5 : 1;
            return factor * super.demand(vm, vms, seconds);
        }
    },
    /** All clients are at one VM and move to another one. */
    ONE_VM(0.9) {
        @Override
        double demand(int vm, int vms, double seconds) {
            int busy = seconds < EVENT ? 0 : 1;
            return vm == busy ? mLoad : 0;
        }
    },
    /** The limit is lowered to a third, far below the demand. */
    LIMIT_LOWERED(0.55) {
        @Override
        RateLimit limit(RateLimit initial, double seconds) {
            return seconds < EVENT
                    ? initial
                    : new RateLimit(initial.requestsPerSecond() / 3, initial.burst() / 3);
        }
    },
    /** The limit is tripled while the demand is above it. */
    LIMIT_RAISED(2) {
        @Override
        RateLimit limit(RateLimit initial, double seconds) {
            return seconds < EVENT
                    ? initial
                    : new RateLimit(initial.requestsPerSecond() * 3, initial.burst() * 3);
        }
    },
    /** A third of the VMs loses the others, who drop it from their view after 3 s. */
    THIRD_CUT_OFF(3) {
        @Override
        boolean isConnected(int vm, int vms, double seconds) {
            return vm % 3 != 0 || seconds < EVENT || seconds >= EVENT + 9;
        }

        @Override
        boolean isPlanned(int vm, int viewer, int vms, double seconds) {
            boolean isExpired = vm % 3 == 0 && seconds >= EVENT + DETECTION && seconds < EVENT + 9;
            return !isExpired || viewer % 3 == 0;
        }
    },
    /** Half of the VMs restart without memory, 1.4 s apart from their last request. */
    HALF_RESTARTED(3) {
        @Override
        boolean isRunning(int vm, int vms, double seconds) {
            return vm % 2 != 0 || seconds < EVENT || seconds >= EVENT + 1.4;
        }
    },
    /** All VMs restart without memory. */
    ALL_RESTARTED(3) {
        @Override
        boolean isRunning(int vm, int vms, double seconds) {
            return seconds < EVENT || seconds >= EVENT + 1.4;
        }
    },
    /** The VMs hear of each other late, and the demand moves. */
    SLOW_MESSAGES(2) {
        @Override
        double demand(int vm, int vms, double seconds) {
            boolean isFirstHalf = (int) seconds % 6 < 3;
            return isFirstHalf == vm < vms / 2 ? 2 * mLoad / vms : 0;
        }

        @Override
        double messageSeconds() {
            return 0.3;
        }
    };

    /** When the failure or change begins, in seconds. */
    static final double EVENT = 12;

    /** The duration of a run, in seconds. */
    static final double END = 30;

    /** When the other VMs drop a VM that is cut off from their view, in seconds. */
    private static final double DETECTION = 3;

    final double mLoad;

    LimitScenario(double load) {
        mLoad = load;
    }

    /** Returns the demand at a VM as a multiple of the limit. */
    double demand(int vm, int vms, double seconds) {
        return mLoad / vms;
    }

    RateLimit limit(RateLimit initial, double seconds) {
        return initial;
    }

    boolean isConnected(int vm, int vms, double seconds) {
        return true;
    }

    boolean isPlanned(int vm, int viewer, int vms, double seconds) {
        return true;
    }

    boolean isRunning(int vm, int vms, double seconds) {
        return true;
    }

    double messageSeconds() {
        return 0.002;
    }

    String title() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the scenarios in the order of the table. */
    static List<LimitScenario> all() {
        return List.of(values());
    }
}
