package org.dahliapass.decisions.health;

import org.dahliapass.model.Target;

/**
 * The status of one target as assessed by one VM.
 *
 * @param target the target
 * @param state the state of the target
 * @param weight the target's load relative to a healthy target, 0 to 1; 0 for no new requests
 * @param acceptsAtMostOnce whether the target may receive requests that must run at most once
 * @param reportedLoad the load that the target last reported, 0 to 1; a hint that may be delayed
 */
public record TargetStatus(
        Target target,
        TargetState state,
        double weight,
        boolean acceptsAtMostOnce,
        double reportedLoad) {}
