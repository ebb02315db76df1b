package org.dahliapass.decisions.admission;

/** The order in which the waiting requests of a service are dispatched. */
public enum AdmissionOrder {
    /** Weighted turns of the classes of requests, whatever their priority. */
    LANES {
        @Override
        public int level(int priority) {
            return 0;
        }

        @Override
        public boolean isByPriority() {
            return false;
        }
    },
    /** By priority first, then as {@link #LANES}. */
    PRIORITY {
        @Override
        public int level(int priority) {
            return Math.max(0, Math.min(LOWEST_LEVEL, priority));
        }

        @Override
        public boolean isByPriority() {
            return true;
        }
    };

    /**
     * The level of all priorities that are not higher. Each lower level gets one dispatch in ten,
     * which leaves at least one in ten to the highest of ten levels.
     */
    static final int LOWEST_LEVEL = 9;

    /**
     * Returns the level on which a request waits; 0 is dispatched first.
     *
     * @param priority the priority of the request; 0 is the highest
     */
    public abstract int level(int priority);

    /** Returns whether requests are ordered by their priority and their remaining time. */
    public abstract boolean isByPriority();
}
