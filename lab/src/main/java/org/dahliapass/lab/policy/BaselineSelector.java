package org.dahliapass.lab.policy;

import java.util.Arrays;
import java.util.List;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.HealthReport;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/** Base class of the baselines, which either use or eject a target and share no evidence. */
abstract class BaselineSelector implements Selector {
    /** The times at which the ejections end, by target. */
    protected final long[] mEjectedUntilMillis;

    private final EvidenceReport mEmptyReport;
    private long mNowMillis;

    BaselineSelector(Deployment deployment, int vm) {
        mEjectedUntilMillis = new long[deployment.targets()];
        Arrays.fill(mEjectedUntilMillis, Long.MIN_VALUE);
        ServiceId service = new ServiceId(deployment.name(), deployment.name());
        mEmptyReport =
                new EvidenceReport(
                        new VmIdentity("vm" + vm, 1), Deployment.zone(vm), 1, service, List.of());
    }

    @Override
    public double weight(int target) {
        return mNowMillis >= mEjectedUntilMillis[target] ? 1 : 0;
    }

    @Override
    public void onOutcome(int target, Outcome outcome, long latencyMillis, long nowMillis) {
        mNowMillis = nowMillis;
    }

    @Override
    public void onProbe(int target, boolean answered, HealthReport report, long nowMillis) {
        mNowMillis = nowMillis;
    }

    @Override
    public void onTick(long nowMillis) {
        mNowMillis = nowMillis;
    }

    @Override
    public EvidenceReport drainReport(long nowMillis) {
        return mEmptyReport;
    }

    @Override
    public void onPeerEvidence(EvidenceReport report, long nowMillis) {
        mNowMillis = nowMillis;
    }
}
