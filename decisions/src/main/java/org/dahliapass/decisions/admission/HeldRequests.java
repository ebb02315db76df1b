package org.dahliapass.decisions.admission;

/** How much of a service each customer holds; of those that wait, the least comes first. */
@FunctionalInterface
public interface HeldRequests {
    /**
     * Returns the requests that a customer holds.
     *
     * @param nowMillis the current time, in milliseconds
     */
    double held(String customer, long nowMillis);
}
