package org.dahliapass.decisions.once;

/**
 * Identifies one guarded operation in the fleet: the same key of two customers is two operations.
 *
 * @param customer the customer whose template the request falls under
 * @param key the key that the caller sent
 */
public record Operation(String customer, OperationKey key) {}
