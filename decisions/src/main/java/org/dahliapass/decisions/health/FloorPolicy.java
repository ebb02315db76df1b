package org.dahliapass.decisions.health;

/** Whether the floor is kept; tests plant the fault that it isn't, and must then find it. */
enum FloorPolicy {
    /** A target goes out only if enough others are known to be well. */
    ENFORCED {
        @Override
        boolean allows(int knownHealthy, int floor) {
            return knownHealthy >= floor;
        }
    },
    /** The planted fault: the floor is ignored. */
    IGNORED {
        @Override
        boolean allows(int knownHealthy, int floor) {
            return true;
        }
    };

    abstract boolean allows(int knownHealthy, int floor);
}
