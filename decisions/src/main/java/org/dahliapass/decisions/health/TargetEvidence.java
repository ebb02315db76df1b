package org.dahliapass.decisions.health;

import org.dahliapass.model.Endpoint;

/**
 * What one VM saw of one target and request kind since its last report.
 *
 * @param target the target
 * @param kind the request kind's name
 * @param successes whole good answers
 * @param failures failed pieces of work
 * @param logLatencySum the sum over the successes of the natural logarithm of the latency in
 *     milliseconds
 * @param logLatencySquareSum the sum of the squares of those logarithms
 */
public record TargetEvidence(
        Endpoint target,
        String kind,
        int successes,
        int failures,
        double logLatencySum,
        double logLatencySquareSum) {}
