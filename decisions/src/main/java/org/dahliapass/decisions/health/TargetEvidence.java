package org.dahliapass.decisions.health;

import org.dahliapass.model.Endpoint;

/**
 * The outcomes of one target and request kind that a VM observed since its last report.
 *
 * @param target the target
 * @param kind the request kind's name
 * @param successes the number of successful requests
 * @param failures the number of failed requests
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
