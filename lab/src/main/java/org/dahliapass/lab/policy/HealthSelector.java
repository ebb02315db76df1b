package org.dahliapass.lab.policy;

import java.util.Optional;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.HealthReport;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.health.TargetHealth;
import org.dahliapass.model.VmIdentity;

/** The production policy, with or without evidence from other VMs. */
final class HealthSelector implements Selector {
    private static final String KIND = "work";
    private static final long PROBE_INTERVAL_MILLIS = 5_000;

    private final TargetHealth mHealth;
    private final boolean mSharesEvidence;

    HealthSelector(Deployment deployment, int vm, boolean sharesEvidence) {
        VmIdentity identity = new VmIdentity("vm" + vm, 1);
        mHealth = new TargetHealth(identity, Deployment.zone(vm), deployment.template(), 0);
        mSharesEvidence = sharesEvidence;
    }

    @Override
    public double weight(int target) {
        return mHealth.view().weight(Deployment.endpoint(target));
    }

    @Override
    public boolean acceptsAtMostOnce(int target) {
        return mHealth.view().acceptsAtMostOnce(Deployment.endpoint(target));
    }

    @Override
    public void onOutcome(int target, Outcome outcome, long latencyMillis, long nowMillis) {
        mHealth.onOutcome(Deployment.endpoint(target), KIND, outcome, latencyMillis, nowMillis);
    }

    @Override
    public void onProbe(int target, boolean answered, HealthReport report, long nowMillis) {
        mHealth.onProbe(Deployment.endpoint(target), answered, nowMillis);
        if (answered) {
            mHealth.onHealthReport(Deployment.endpoint(target), report, nowMillis);
        }
    }

    @Override
    public long probeIntervalMillis() {
        return PROBE_INTERVAL_MILLIS;
    }

    @Override
    public void onTick(long nowMillis) {
        mHealth.onTick(nowMillis);
        mHealth.takeExplanations();
    }

    @Override
    public EvidenceReport drainReport(long nowMillis) {
        return mHealth.takeReport(nowMillis);
    }

    @Override
    public Optional<EvidenceReport> drainUrgentReport(long nowMillis) {
        return mHealth.takeUrgentReport(nowMillis);
    }

    @Override
    public void onPeerEvidence(EvidenceReport report, long nowMillis) {
        if (mSharesEvidence) {
            mHealth.onPeerEvidence(report, nowMillis);
        }
    }
}
