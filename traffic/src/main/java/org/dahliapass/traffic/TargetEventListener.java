package org.dahliapass.traffic;

import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;

/**
 * Receives the outcomes of attempts and drain announcements of targets; called on traffic threads.
 */
public interface TargetEventListener {
    /** Called when an attempt has ended. */
    void onOutcome(
            ServiceId service, Endpoint target, String kind, Outcome outcome, long latencyMillis);

    /** Called when a target has announced that it is draining. */
    void onDraining(ServiceId service, Endpoint target);
}
