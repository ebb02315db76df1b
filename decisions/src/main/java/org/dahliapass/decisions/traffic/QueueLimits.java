package org.dahliapass.decisions.traffic;

/**
 * How much may wait.
 *
 * @param capacity the most entries in a queue
 * @param capacityPerCustomer the most entries of one customer, so that a flood fills only its own
 *     part
 * @param bulkyPerCustomer the most bulky requests of one customer in flight on this VM
 */
public record QueueLimits(int capacity, int capacityPerCustomer, int bulkyPerCustomer) {}
