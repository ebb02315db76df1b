package org.dahliapass.decisions.admission;

/**
 * The requests of one customer for a service at one VM.
 *
 * @param customer the customer
 * @param inFlight the requests in flight at targets
 * @param waiting the requests that wait
 */
public record CustomerCount(String customer, int inFlight, int waiting) {}
