package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/**
 * How many requests of one VM are in flight at a target.
 *
 * @param target the target
 * @param inFlight the number of requests
 */
public record TargetInFlight(Endpoint target, int inFlight) {}
