package org.dahliapass.decisions.health;

/** Whether ejections respect the floor; tests disable the floor to verify that they detect it. */
enum FloorPolicy {
    /** A target is ejected only if enough other targets are known to be healthy. */
    ENFORCED {
        @Override
        boolean allows(int knownHealthy, int floor) {
            return knownHealthy >= floor;
        }
    },
    /** A fault for tests: the floor is not enforced. */
    IGNORED {
        @Override
        boolean allows(int knownHealthy, int floor) {
            return true;
        }
    };

    abstract boolean allows(int knownHealthy, int floor);
}
