package org.dahliapass.decisions.once;

/**
 * The fleet-wide identity of an at-most-once operation; the same key of two customers identifies
 * two operations.
 *
 * @param customer the customer whose template applies to the request
 * @param key the idempotency key that the caller sent
 */
public record Operation(String customer, OperationKey key) {}
