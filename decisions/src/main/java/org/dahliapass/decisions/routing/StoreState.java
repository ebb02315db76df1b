package org.dahliapass.decisions.routing;

/** What the latest calls of a VM say of the store. */
public enum StoreState {
    /** The store responds. */
    RESPONDING {
        @Override
        boolean isSourceOf(boolean watcher, boolean overdue) {
            return watcher || overdue;
        }
    },
    /** The store responds to some calls, and no call is allowed yet after another one failed. */
    PAUSED {
        @Override
        boolean isSourceOf(boolean watcher, boolean overdue) {
            return watcher;
        }
    },
    /** The last call failed, and another one is allowed again. */
    RETRIABLE {
        @Override
        boolean isSourceOf(boolean watcher, boolean overdue) {
            return overdue;
        }
    },
    /** The store is silent, or no call is allowed yet. */
    UNAVAILABLE {
        @Override
        boolean isSourceOf(boolean watcher, boolean overdue) {
            return false;
        }
    };

    /**
     * Returns whether a VM reads changes from the store although another VM may be followed.
     *
     * @param watcher whether the VM watches the store on behalf of others
     * @param overdue whether no other VM has confirmed its state for too long
     */
    abstract boolean isSourceOf(boolean watcher, boolean overdue);
}
