package org.dahliapass.lab.policy;

import org.dahliapass.decisions.health.HealthReport;

/** Takes a target out after two bad probes in a row, and back after two good ones. */
final class ProbeSelector extends BaselineSelector {
    private static final int PROBES = 2;
    private static final long INTERVAL_MILLIS = 1_000;

    private final int[] mBad;
    private final int[] mGood;

    ProbeSelector(Deployment deployment, int vm) {
        super(deployment, vm);
        mBad = new int[deployment.targets()];
        mGood = new int[deployment.targets()];
    }

    @Override
    public void onProbe(int target, boolean answered, HealthReport report, long nowMillis) {
        super.onProbe(target, answered, report, nowMillis);
        if (answered && report != HealthReport.UNHEALTHY) {
            mBad[target] = 0;
            mGood[target]++;
        } else {
            mGood[target] = 0;
            mBad[target]++;
        }
        if (mBad[target] >= PROBES) {
            mOutUntilMillis[target] = Long.MAX_VALUE;
        } else if (mGood[target] >= PROBES) {
            mOutUntilMillis[target] = Long.MIN_VALUE;
        }
    }

    @Override
    public long probeIntervalMillis() {
        return INTERVAL_MILLIS;
    }
}
