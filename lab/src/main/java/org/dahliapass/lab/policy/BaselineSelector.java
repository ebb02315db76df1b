package org.dahliapass.lab.policy;

import java.util.Arrays;
import java.util.List;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.HealthReport;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/** What the plain contenders share: a target is in or out, and nothing is told to the cell. */
abstract class BaselineSelector implements Selector {
    /** The time from which a target gets work. */
    protected final long[] mOutUntilMillis;

    private final EvidenceReport mNothing;
    private long mNowMillis;

    BaselineSelector(Deployment deployment, int vm) {
        mOutUntilMillis = new long[deployment.targets()];
        Arrays.fill(mOutUntilMillis, Long.MIN_VALUE);
        ServiceId service = new ServiceId(deployment.name(), deployment.name());
        mNothing =
                new EvidenceReport(
                        new VmIdentity("vm" + vm, 1), Deployment.zone(vm), 1, service, List.of());
    }

    @Override
    public double weight(int target) {
        return mNowMillis >= mOutUntilMillis[target] ? 1 : 0;
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
        return mNothing;
    }

    @Override
    public void onPeerEvidence(EvidenceReport report, long nowMillis) {
        mNowMillis = nowMillis;
    }
}
