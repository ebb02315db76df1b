package org.dahliapass.decisions.traffic;

import org.dahliapass.model.Endpoint;

/**
 * The outcome of an attempt, reported to the other VMs at once.
 *
 * @param target the target
 * @param observation the outcome
 * @param sentMillis when the request was sent, in milliseconds
 */
public record TargetObservation(Endpoint target, Observation observation, long sentMillis) {}
