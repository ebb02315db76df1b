package org.dahliapass.traffic;

import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;

/** Takes what real work showed of targets; called on traffic threads. */
public interface TargetEventListener {
    /** Takes the end of a try. */
    void onOutcome(
            ServiceId service, Endpoint target, String kind, Outcome outcome, long latencyMillis);

    /** Takes a target's own word that it is leaving. */
    void onDraining(ServiceId service, Endpoint target);
}
