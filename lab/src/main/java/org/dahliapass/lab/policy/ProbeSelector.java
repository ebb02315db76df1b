package org.dahliapass.lab.policy;

import org.dahliapass.decisions.health.HealthReport;

/** Ejects a target after two consecutive failed probes and returns it after two successes. */
final class ProbeSelector extends BaselineSelector {
    private static final int CONSECUTIVE_PROBES = 2;
    private static final long INTERVAL_MILLIS = 1_000;

    private final int[] mConsecutiveFailures;
    private final int[] mConsecutiveSuccesses;

    ProbeSelector(Deployment deployment, int vm) {
        super(deployment, vm);
        mConsecutiveFailures = new int[deployment.targets()];
        mConsecutiveSuccesses = new int[deployment.targets()];
    }

    @Override
    public void onProbe(int target, boolean answered, HealthReport report, long nowMillis) {
        super.onProbe(target, answered, report, nowMillis);
        if (answered && report != HealthReport.UNHEALTHY) {
            mConsecutiveFailures[target] = 0;
            mConsecutiveSuccesses[target]++;
        } else {
            mConsecutiveSuccesses[target] = 0;
            mConsecutiveFailures[target]++;
        }
        if (mConsecutiveFailures[target] >= CONSECUTIVE_PROBES) {
            mEjectedUntilMillis[target] = Long.MAX_VALUE;
        } else if (mConsecutiveSuccesses[target] >= CONSECUTIVE_PROBES) {
            mEjectedUntilMillis[target] = Long.MIN_VALUE;
        }
    }

    @Override
    public long probeIntervalMillis() {
        return INTERVAL_MILLIS;
    }
}
