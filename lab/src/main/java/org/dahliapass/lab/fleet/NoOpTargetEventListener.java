package org.dahliapass.lab.fleet;

import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.traffic.TargetEventListener;

/** Takes outcomes that the health part would weigh, which these runs leave out. */
final class NoOpTargetEventListener implements TargetEventListener {
    @Override
    public void onOutcome(
            ServiceId service, Endpoint target, String kind, Outcome outcome, long latency) {}

    @Override
    public void onDraining(ServiceId service, Endpoint target) {}
}
