package org.dahliapass.decisions.configuration;

/**
 * An accept that left the ring.
 *
 * @param operationId names the accept
 * @param number the number that its change got
 */
public record PastOperation(String operationId, long number) {}
