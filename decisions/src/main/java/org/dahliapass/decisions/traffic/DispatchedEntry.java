package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/**
 * A request that waited and now goes to a target; its slot is taken.
 *
 * @param entry the request
 * @param target the target
 * @param <T> what the caller needs to go on with the request
 */
public record DispatchedEntry<T>(QueueEntry<T> entry, Endpoint target) {}
