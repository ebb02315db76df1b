package org.dahliapass.model;

/** Whether a request may run more than once. */
public enum Idempotency {
    /** May run any number of times; may be retried and hedged. */
    IDEMPOTENT {
        @Override
        public boolean isRepeatable() {
            return true;
        }
    },
    /** Runs at most once under its idempotency key; never retried once a try may have run. */
    AT_MOST_ONCE {
        @Override
        public boolean isRepeatable() {
            return false;
        }
    };

    /** Returns whether a try whose outcome is unknown may be followed by another. */
    public abstract boolean isRepeatable();
}
