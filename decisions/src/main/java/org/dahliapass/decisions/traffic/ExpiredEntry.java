package org.dahliapass.decisions.traffic;

/**
 * A queued request that expired and is refused; it was not run.
 *
 * @param entry the request
 * @param refusal the response
 * @param <T> the caller's handle for the request
 */
public record ExpiredEntry<T>(QueueEntry<T> entry, Admission.Refused refusal) {}
