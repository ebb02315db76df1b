package org.dahliapass.model;

import java.time.Duration;

/**
 * How sure the fleet must be before it takes a target out.
 *
 * @param falseEjectionTolerance the chance, per hour of one target's work, of taking that target
 *     out although it is healthy
 * @param failureShare the share of failing work from which a target counts as sick
 * @param slowFactor a target this many times slower than its peers counts as sick
 * @param returnAfter how long a target stays out before it is tried again; grows while it flaps
 * @param slowStart how long a returned target takes to get its full share of work
 */
public record DetectionPolicy(
        double falseEjectionTolerance,
        double failureShare,
        double slowFactor,
        Duration returnAfter,
        Duration slowStart) {}
