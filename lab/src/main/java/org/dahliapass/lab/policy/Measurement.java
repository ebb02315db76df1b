package org.dahliapass.lab.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.dahliapass.decisions.health.Outcome;

/** What is counted in one run from the start of the fault on. */
final class Measurement {
    private static final long NOT_FOUND = -1;
    private static final int MICROS = 1_000;

    private final Deployment mDeployment;
    private final Fault mFault;
    private final List<FakeVm> mVms;
    private final long mFaultMillis;
    private final long[][] mFoundMillis;
    private double mHealthyEjectedSeconds;
    private int mLowestHealthy = Integer.MAX_VALUE;
    private int mRequests;
    private int mFailed;
    private int mLate;
    private int mRefused;
    private int mProbes;

    Measurement(Deployment deployment, Fault fault, List<FakeVm> vms, long faultMillis) {
        mDeployment = deployment;
        mFault = fault;
        mVms = vms;
        mFaultMillis = faultMillis;
        mFoundMillis = new long[deployment.vms()][deployment.targets()];
        for (long[] row : mFoundMillis) {
            Arrays.fill(row, NOT_FOUND);
        }
    }

    void onEnd(long startMicros, long nowMicros, Outcome outcome) {
        if (startMicros < mFaultMillis * MICROS) {
            return;
        }
        mRequests++;
        boolean late = nowMicros - startMicros > mDeployment.lateMillis() * MICROS;
        if (outcome == Outcome.REFUSED_SHED) {
            mRefused++;
        } else if (outcome.isFailure()) {
            mFailed++;
        } else if (late) {
            mLate++;
        }
    }

    void onProbe(long nowMillis) {
        if (nowMillis >= mFaultMillis) {
            mProbes++;
        }
    }

    /** Notes whether a sick target gets no more work from a VM. */
    void recordWeight(int vm, int target, long nowMillis) {
        if (nowMillis >= mFaultMillis
                && mFoundMillis[vm][target] == NOT_FOUND
                && mFault.isFaulty(mDeployment, vm, target)
                && mVms.get(vm).mSelector.weight(target) <= mFault.detectedAtWeight()) {
            mFoundMillis[vm][target] = nowMillis - mFaultMillis;
        }
    }

    void onTick(int vm, long nowMillis) {
        if (nowMillis < mFaultMillis) {
            return;
        }
        int healthy = 0;
        for (int target = 0; target < mDeployment.targets(); target++) {
            recordWeight(vm, target, nowMillis);
            if (mFault.isFaulty(mDeployment, vm, target)) {
                continue;
            }
            if (mVms.get(vm).mSelector.weight(target) > 0) {
                healthy++;
            } else {
                mHealthyEjectedSeconds += Experiment.TICK_MILLIS / 1_000.0 / mDeployment.vms();
            }
        }
        mLowestHealthy = Math.min(mLowestHealthy, healthy);
    }

    /**
     * Returns the detection times, in milliseconds, of the VMs and sick targets that were found.
     */
    List<Long> detectionMillis() {
        List<Long> times = new ArrayList<>();
        forEachSick((vm, target) -> addFound(times, mFoundMillis[vm][target]));
        return times;
    }

    /** Returns for how many pairs of a VM and a sick target there was something to find. */
    int faultyPairs() {
        int[] pairs = new int[1];
        forEachSick((vm, target) -> pairs[0]++);
        return pairs[0];
    }

    private static void addFound(List<Long> times, long millis) {
        if (millis != NOT_FOUND) {
            times.add(millis);
        }
    }

    private void forEachSick(Pair action) {
        for (int vm = 0; vm < mDeployment.vms(); vm++) {
            for (int target = 0; target < mDeployment.targets(); target++) {
                if (!mFault.isVmLost(vm) && mFault.isFaulty(mDeployment, vm, target)) {
                    action.accept(vm, target);
                }
            }
        }
    }

    double healthyEjectedSeconds() {
        return mHealthyEjectedSeconds;
    }

    int minHealthyTargets() {
        return mLowestHealthy;
    }

    int requests() {
        return mRequests;
    }

    int failed() {
        return mFailed;
    }

    int late() {
        return mLate;
    }

    int refused() {
        return mRefused;
    }

    int probes() {
        return mProbes;
    }

    private interface Pair {
        void accept(int vm, int target);
    }
}
