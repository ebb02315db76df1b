package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/**
 * A queued request that is sent to a target now; its slot is acquired.
 *
 * @param entry the request
 * @param target the target
 * @param <T> the caller's handle for the request
 */
public record DispatchedEntry<T>(QueueEntry<T> entry, Endpoint target) {}
