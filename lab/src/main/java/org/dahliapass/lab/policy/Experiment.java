package org.dahliapass.lab.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.Outcome;

/**
 * A simulated run in which a cell of VMs sends requests to targets and a fault starts.
 *
 * <p>Arrivals and service times depend on the seed only, so all variants get the same load.
 */
final class Experiment {
    static final long WARM_UP_MILLIS = 15_000;
    static final long FAULT_MILLIS = 30_000;
    static final long TICK_MILLIS = 250;

    private static final long NETWORK_DELAY_MICROS = 1_000;
    private static final long CONNECT_TIMEOUT_MICROS = 500_000;
    private static final long PROBE_LATENCY_MICROS = 25_000;
    private static final int MICROS = 1_000;

    private final Deployment mDeployment;
    private final Fault mFault;
    private final EventQueue mEvents = new EventQueue();
    private final RandomGenerator mArrivalRandom;
    private final RandomGenerator mSelectionRandom;
    private final long mFaultMillis;
    private final double mMeanInterarrivalMicros;
    private final List<FakeVm> mVms = new ArrayList<>();
    private final List<FakeTarget> mTargets = new ArrayList<>();
    private final Measurement mMeasurement;

    /**
     * Creates a run.
     *
     * @param load the arrival rate, as a share of the capacity of all slots
     */
    Experiment(Deployment deployment, Fault fault, PolicyVariant variant, double load, long seed) {
        mDeployment = deployment;
        mFault = fault;
        mArrivalRandom = new Random(seed);
        mSelectionRandom = new Random(seed + 1);
        mFaultMillis = WARM_UP_MILLIS + mArrivalRandom.nextInt((int) TICK_MILLIS);
        mMeanInterarrivalMicros = 1e6 / (load * deployment.capacityPerSecond());
        for (int vm = 0; vm < deployment.vms(); vm++) {
            mVms.add(new FakeVm(variant.create(deployment, vm), deployment.targets()));
        }
        for (int target = 0; target < deployment.targets(); target++) {
            mTargets.add(new FakeTarget(mEvents, deployment.slots()));
        }
        mMeasurement = new Measurement(deployment, fault, mVms, mFaultMillis);
    }

    Measurement run() {
        scheduleArrival();
        for (int vm = 0; vm < mVms.size(); vm++) {
            int number = vm;
            // VMs are not synchronized, so their ticks are distributed over the interval.
            mEvents.schedule((number + 1) * TICK_MILLIS * MICROS / mVms.size(), () -> tick(number));
            for (int target = 0; target < mTargets.size(); target++) {
                int probedTarget = target;
                mEvents.schedule(
                        mSelectionRandom.nextLong(probeMicros(vm)),
                        () -> probe(number, probedTarget));
            }
        }
        mEvents.runUntil((mFaultMillis + FAULT_MILLIS) * MICROS);
        return mMeasurement;
    }

    private long probeMicros(int vm) {
        return mVms.get(vm).mSelector.probeIntervalMillis() * MICROS;
    }

    private boolean isFaultActive() {
        return mEvents.nowMillis() >= mFaultMillis;
    }

    private boolean isLost(int vm) {
        return isFaultActive() && mFault.isVmLost(vm);
    }

    private Condition condition(int vm, int target) {
        return isFaultActive()
                ? mFault.condition(mDeployment, vm, target, mEvents.nowMillis() - mFaultMillis)
                : Condition.HEALTHY;
    }

    private void scheduleArrival() {
        long interarrivalMicros =
                (long) (-mMeanInterarrivalMicros * Math.log(1 - mArrivalRandom.nextDouble()));
        mEvents.schedule(interarrivalMicros, this::arrive);
    }

    private void arrive() {
        scheduleArrival();
        double slotMillis =
                mDeployment.medianMillis()
                        * Math.exp(Deployment.SLOT_TIME_SIGMA * mArrivalRandom.nextGaussian());
        boolean atMostOnce = mArrivalRandom.nextDouble() < mDeployment.guardedShare();
        double failureDraw = mArrivalRandom.nextDouble();
        int vm = mArrivalRandom.nextInt(mVms.size());
        while (isLost(vm)) {
            // Callers know several VM addresses and fail over to the next.
            vm = (vm + 1) % mVms.size();
        }
        Request request =
                new Request(vm, mEvents.nowMicros(), (long) (slotMillis * MICROS), failureDraw);
        int target = mVms.get(vm).selectTarget(atMostOnce, mSelectionRandom);
        if (target < 0) {
            mMeasurement.onEnd(request.startMicros(), mEvents.nowMicros(), Outcome.REFUSED_SHED);
            return;
        }
        send(request, target);
    }

    private void send(Request request, int target) {
        mVms.get(request.vm()).mInFlight[target]++;
        switch (condition(request.vm(), target).connectivity()) {
            case REFUSED ->
                    mEvents.schedule(
                            NETWORK_DELAY_MICROS,
                            () -> end(request, target, Outcome.CONNECT_FAILED));
            case SILENT ->
                    mEvents.schedule(
                            CONNECT_TIMEOUT_MICROS,
                            () -> end(request, target, Outcome.CONNECT_FAILED));
            default -> mEvents.schedule(NETWORK_DELAY_MICROS, () -> deliver(request, target));
        }
    }

    private void deliver(Request request, int target) {
        Condition condition = condition(request.vm(), target);
        double failureRate = Deployment.BASE_FAILURE_RATE + condition.failureRate();
        Outcome outcome = request.failureDraw() < failureRate ? Outcome.FAILURE : Outcome.SUCCESS;
        FakeTarget.Task task =
                new FakeTarget.Task(
                        condition.stallMillis() * MICROS
                                + (long) (request.slotMicros() * condition.slowdown()),
                        request.startMicros() + mDeployment.deadlineMillis() * MICROS,
                        inTime ->
                                mEvents.schedule(
                                        NETWORK_DELAY_MICROS,
                                        () ->
                                                end(
                                                        request,
                                                        target,
                                                        inTime ? outcome : Outcome.TIMEOUT)));
        if (!mTargets.get(target).offer(task)) {
            mEvents.schedule(
                    NETWORK_DELAY_MICROS, () -> end(request, target, Outcome.REFUSED_SHED));
        }
    }

    private void end(Request request, int target, Outcome outcome) {
        FakeVm vm = mVms.get(request.vm());
        vm.mInFlight[target]--;
        if (isLost(request.vm())) {
            mMeasurement.onEnd(request.startMicros(), mEvents.nowMicros(), Outcome.CUT_SHORT);
            return;
        }
        long latencyMillis = (mEvents.nowMicros() - request.startMicros()) / MICROS;
        vm.mSelector.onOutcome(target, outcome, latencyMillis, mEvents.nowMillis());
        if (outcome.isFailure()) {
            vm.mSelector
                    .drainUrgentReport(mEvents.nowMillis())
                    .ifPresent(
                            report ->
                                    mEvents.schedule(
                                            NETWORK_DELAY_MICROS,
                                            () -> broadcast(request.vm(), report)));
        }
        mMeasurement.onEnd(request.startMicros(), mEvents.nowMicros(), outcome);
        mMeasurement.recordWeight(request.vm(), target, mEvents.nowMillis());
    }

    private void probe(int vm, int target) {
        if (isLost(vm)) {
            return;
        }
        Condition condition = condition(vm, target);
        boolean answered = condition.connectivity() == Condition.Connectivity.OPEN;
        mMeasurement.onProbe(mEvents.nowMillis());
        mEvents.schedule(
                answered ? PROBE_LATENCY_MICROS : CONNECT_TIMEOUT_MICROS,
                () -> {
                    mVms.get(vm)
                            .mSelector
                            .onProbe(target, answered, condition.report(), mEvents.nowMillis());
                    mMeasurement.recordWeight(vm, target, mEvents.nowMillis());
                });
        mEvents.schedule(probeMicros(vm), () -> probe(vm, target));
    }

    private void tick(int vm) {
        if (isLost(vm)) {
            return;
        }
        long nowMillis = mEvents.nowMillis();
        Selector selector = mVms.get(vm).mSelector;
        EvidenceReport report = selector.drainReport(nowMillis);
        mEvents.schedule(NETWORK_DELAY_MICROS, () -> broadcast(vm, report));
        selector.onTick(nowMillis);
        mMeasurement.onTick(vm, nowMillis);
        mEvents.schedule(TICK_MILLIS * MICROS, () -> tick(vm));
    }

    private void broadcast(int sender, EvidenceReport report) {
        for (int vm = 0; vm < mVms.size(); vm++) {
            if (vm != sender && !isLost(vm)) {
                mVms.get(vm).mSelector.onPeerEvidence(report, mEvents.nowMillis());
                recordWeights(vm, report);
            }
        }
    }

    private void recordWeights(int vm, EvidenceReport report) {
        if (!report.evidence().isEmpty()) {
            for (int target = 0; target < mTargets.size(); target++) {
                mMeasurement.recordWeight(vm, target, mEvents.nowMillis());
            }
        }
    }

    private record Request(int vm, long startMicros, long slotMicros, double failureDraw) {}
}
