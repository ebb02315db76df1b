package org.dahliapass.decisions.admission;

/** The requests by which the share of a customer is measured. */
public enum CustomerSharing {
    /** Customers take turns at each VM. */
    VM {
        @Override
        public HeldRequests heldIn(CustomerUse use) {
            return (customer, nowMillis) -> 0;
        }

        @Override
        public boolean isReported() {
            return false;
        }
    },
    /** The customer with the fewest requests in flight at all VMs is next. */
    FLEET {
        @Override
        public HeldRequests heldIn(CustomerUse use) {
            return use::held;
        }

        @Override
        public boolean isReported() {
            return true;
        }
    };

    /** Returns what customers hold for the order of the waiting requests. */
    public abstract HeldRequests heldIn(CustomerUse use);

    /** Returns whether VMs report what customers hold. */
    public abstract boolean isReported();
}
