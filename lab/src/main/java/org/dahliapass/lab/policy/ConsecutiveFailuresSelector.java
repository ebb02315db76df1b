package org.dahliapass.lab.policy;

import org.dahliapass.decisions.health.Outcome;

/** Ejects a target for a fixed time after three consecutive failures; round robin. */
final class ConsecutiveFailuresSelector extends BaselineSelector {
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    /** Longer than any run, so that no probe is sent. */
    private static final long NO_PROBES_MILLIS = 1_000_000_000;

    private final int[] mConsecutiveFailures;
    private final long mEjectionMillis;

    ConsecutiveFailuresSelector(Deployment deployment, int vm) {
        super(deployment, vm);
        mConsecutiveFailures = new int[deployment.targets()];
        mEjectionMillis = deployment.detection().returnAfter().toMillis();
    }

    @Override
    public boolean isRoundRobin() {
        return true;
    }

    @Override
    public void onOutcome(int target, Outcome outcome, long latencyMillis, long nowMillis) {
        super.onOutcome(target, outcome, latencyMillis, nowMillis);
        if (outcome.isSuccess()) {
            mConsecutiveFailures[target] = 0;
        }
        if (!outcome.isFailure()) {
            return;
        }
        mConsecutiveFailures[target]++;
        if (mConsecutiveFailures[target] >= MAX_CONSECUTIVE_FAILURES) {
            mConsecutiveFailures[target] = 0;
            mEjectedUntilMillis[target] = nowMillis + mEjectionMillis;
        }
    }

    @Override
    public long probeIntervalMillis() {
        return NO_PROBES_MILLIS;
    }
}
