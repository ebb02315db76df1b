package org.dahliapass.lab.fleet;

import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.traffic.TargetEventListener;

/** A listener that ignores all events, for simulations without health detection. */
final class NoOpTargetEventListener implements TargetEventListener {
    @Override
    public void onOutcome(
            ServiceId service, Endpoint target, String kind, Outcome outcome, long latency) {}

    @Override
    public void onDraining(ServiceId service, Endpoint target) {}
}
