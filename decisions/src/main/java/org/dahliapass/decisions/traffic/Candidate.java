package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/**
 * A queued entry and a target that can take it.
 *
 * @param waiting the entry
 * @param target the target
 * @param <T> the caller's handle for the request
 */
record Candidate<T>(QueuedEntry<T> waiting, Endpoint target) {}
