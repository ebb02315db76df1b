package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/**
 * The number of one VM's requests in flight to a target.
 *
 * @param target the target
 * @param inFlight the number of requests
 */
public record TargetInFlight(Endpoint target, int inFlight) {}
