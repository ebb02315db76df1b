package org.dahliapass.decisions.access;

import java.util.Optional;
import org.dahliapass.model.routing.Customer;

/** For whom a request is executed; created by {@link Authenticator} only. */
public final class CallerIdentity {
    private final Optional<Customer> mCustomer;
    private final boolean mForwardsCredentials;

    private CallerIdentity(Optional<Customer> customer, boolean forwardsCredentials) {
        mCustomer = customer;
        mForwardsCredentials = forwardsCredentials;
    }

    static CallerIdentity of(Customer customer) {
        return new CallerIdentity(Optional.of(customer), false);
    }

    /** Returns the identity of a caller of a route that needs no key. */
    static CallerIdentity exempt() {
        return new CallerIdentity(Optional.empty(), false);
    }

    /** Returns the identity of all callers of a deployment without customers. */
    static CallerIdentity withoutCustomers() {
        return new CallerIdentity(Optional.empty(), true);
    }

    /** Returns the customer that holds the caller's key; empty if the request needs no key. */
    public Optional<Customer> customer() {
        return mCustomer;
    }

    /**
     * Returns whether the Authorization header is forwarded to targets; it is not if it may hold a
     * customer's key.
     */
    public boolean forwardsCredentials() {
        return mForwardsCredentials;
    }
}
