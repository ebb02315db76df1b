package org.dahliapass.decisions.configuration;

/**
 * An accept operation whose change was evicted from the ring.
 *
 * @param operationId the unique ID of the accept operation
 * @param number the number of its change
 */
public record PastOperation(String operationId, long number) {}
