package org.dahliapass.model;

/** The execution guarantee of a request. */
public enum Idempotency {
    /** May run any number of times, so it may be retried and hedged. */
    IDEMPOTENT {
        @Override
        public boolean isRepeatable() {
            return true;
        }
    },
    /** Runs at most once per idempotency key; not retried after an attempt that may have run. */
    AT_MOST_ONCE {
        @Override
        public boolean isRepeatable() {
            return false;
        }
    };

    /** Returns whether a request may be repeated after an attempt with an unknown outcome. */
    public abstract boolean isRepeatable();
}
