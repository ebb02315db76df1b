package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/**
 * The end of one piece of work that the other VMs should hear of at once.
 *
 * @param target the target
 * @param observation what the end says of the target
 * @param sentMillis when the work was sent, in milliseconds
 */
public record TargetObservation(Endpoint target, Observation observation, long sentMillis) {}
