package org.dahliapass.lab.policy;

import org.dahliapass.decisions.health.Outcome;

/** Takes a target out for a fixed time after three failures in a row; targets take turns. */
final class ConsecutiveFailuresSelector extends BaselineSelector {
    private static final int FAILURES = 3;

    /** Never probes: longer than any run. */
    private static final long NO_PROBES_MILLIS = 1_000_000_000;

    private final int[] mInARow;
    private final long mOutMillis;

    ConsecutiveFailuresSelector(Deployment deployment, int vm) {
        super(deployment, vm);
        mInARow = new int[deployment.targets()];
        mOutMillis = deployment.detection().returnAfter().toMillis();
    }

    @Override
    public boolean isRoundRobin() {
        return true;
    }

    @Override
    public void onOutcome(int target, Outcome outcome, long latencyMillis, long nowMillis) {
        super.onOutcome(target, outcome, latencyMillis, nowMillis);
        if (outcome.isSuccess()) {
            mInARow[target] = 0;
        }
        if (!outcome.isFailure()) {
            return;
        }
        mInARow[target]++;
        if (mInARow[target] >= FAILURES) {
            mInARow[target] = 0;
            mOutUntilMillis[target] = nowMillis + mOutMillis;
        }
    }

    @Override
    public long probeIntervalMillis() {
        return NO_PROBES_MILLIS;
    }
}
