package org.dahliapass.lab.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.dahliapass.decisions.health.Outcome;

/** The counters of one run from the start of the fault. Not thread-safe. */
final class Measurement {
    private static final long NOT_DETECTED = -1;
    private static final int MICROS = 1_000;

    private final Deployment mDeployment;
    private final Fault mFault;
    private final List<FakeVm> mVms;
    private final long mFaultMillis;
    private final long[][] mDetectionMillis;
    private double mHealthyEjectedSeconds;
    private int mMinHealthyTargets = Integer.MAX_VALUE;
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
        mDetectionMillis = new long[deployment.vms()][deployment.targets()];
        for (long[] row : mDetectionMillis) {
            Arrays.fill(row, NOT_DETECTED);
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

    /** Records the detection time if the VM's weight for a faulty target has dropped far enough. */
    void recordWeight(int vm, int target, long nowMillis) {
        if (nowMillis >= mFaultMillis
                && mDetectionMillis[vm][target] == NOT_DETECTED
                && mFault.isFaulty(mDeployment, vm, target)
                && mVms.get(vm).mSelector.weight(target) <= mFault.detectedAtWeight()) {
            mDetectionMillis[vm][target] = nowMillis - mFaultMillis;
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
        mMinHealthyTargets = Math.min(mMinHealthyTargets, healthy);
    }

    /**
     * Returns the detection times, in milliseconds, of the VM and target pairs that were detected.
     */
    List<Long> detectionMillis() {
        List<Long> times = new ArrayList<>();
        forEachFaulty((vm, target) -> addDetected(times, mDetectionMillis[vm][target]));
        return times;
    }

    /** Returns the number of pairs of a running VM and a faulty target. */
    int faultyPairs() {
        int[] pairs = new int[1];
        forEachFaulty((vm, target) -> pairs[0]++);
        return pairs[0];
    }

    private static void addDetected(List<Long> times, long millis) {
        if (millis != NOT_DETECTED) {
            times.add(millis);
        }
    }

    private void forEachFaulty(PairAction action) {
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
        return mMinHealthyTargets;
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

    private interface PairAction {
        void accept(int vm, int target);
    }
}
