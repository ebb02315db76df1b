package org.dahliapass.decisions.traffic;

/**
 * A request that waited in vain, to be refused at once; it was not run.
 *
 * @param entry the request
 * @param refusal the answer
 * @param <T> what the caller needs to go on with the request
 */
public record ExpiredEntry<T>(QueueEntry<T> entry, Admission.Refused refusal) {}
