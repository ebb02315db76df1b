package org.dahliapass.model;

import java.time.Duration;

/**
 * The settings of outlier detection and ejection.
 *
 * @param falseEjectionTolerance the probability per hour that a healthy target is ejected
 * @param failureShare the share of failed requests from which a target is considered faulty, 0 to 1
 * @param slowFactor the latency relative to its peers from which a target is considered faulty
 * @param returnAfter the initial ejection time; increases while the target flaps
 * @param slowStart the time in which the load of a returning target increases to its full share
 */
public record DetectionPolicy(
        double falseEjectionTolerance,
        double failureShare,
        double slowFactor,
        Duration returnAfter,
        Duration slowStart) {}
