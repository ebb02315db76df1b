package org.dahliapass.decisions.health;

import org.dahliapass.model.Target;

/**
 * What a VM thinks of one target at one moment.
 *
 * @param target the target
 * @param state where it stands
 * @param weight its share of work against a healthy target, 0 to 1; 0 means nothing new
 * @param acceptsAtMostOnce whether work that must run at most once may be sent to it
 * @param reportedLoad the load that the target last reported, 0 to 1; a hint that may lag
 */
public record TargetStatus(
        Target target,
        TargetState state,
        double weight,
        boolean acceptsAtMostOnce,
        double reportedLoad) {}
