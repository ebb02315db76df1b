package org.dahliapass.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.decisions.traffic.TargetObservation;
import org.dahliapass.decisions.traffic.TargetReport;
import org.dahliapass.decisions.traffic.WeightedTarget;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.TargetInstance;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.traffic.EntryMetrics;
import org.dahliapass.traffic.ServiceRuntime;

/** One run of a scenario with one seed and one way to place work. */
final class FleetSimulation {
    private static final long REPORT_MILLIS = 100;
    private static final long UPKEEP_MILLIS = 250;
    private static final int FIRST_PORT = 10_000;
    private static final String ZONE = "a";

    private final Scenario mScenario;
    private final SplittableRandom mRandom;
    private final EventScheduler mTimeline = new EventScheduler();
    private final FleetStatistics mTally = new FleetStatistics();
    private final List<FleetTarget> mTargets = new ArrayList<>();
    private final Map<Endpoint, FleetTarget> mByEndpoint = new HashMap<>();
    private final Set<String> mCutPaths = new HashSet<>();
    private final EntryMetrics mMetrics = new EntryMetrics();

    /** Of their own, so that scenarios without such requests are the same with and without them. */
    private final SplittableRandom mDigestRandom;

    private final SplittableRandom mNewsRandom;
    private long mRequestNumber;

    private FleetSimulation(Scenario scenario, long seed) {
        mScenario = scenario;
        mRandom = new SplittableRandom(seed);
        mDigestRandom = new SplittableRandom(~seed);
        mNewsRandom = mDigestRandom.split();
        for (int number = 0; number < scenario.targets(); number++) {
            Endpoint endpoint = new Endpoint("10.0.0.1", FIRST_PORT + number);
            FleetTarget target =
                    new FleetTarget(scenario, mTimeline, mRandom.split(), endpoint, mTally);
            mTargets.add(target);
            mByEndpoint.put(endpoint, target);
        }
    }

    /** Plays a scenario. */
    static FleetResult simulate(Scenario scenario, PlacementStrategy choice, long seed) {
        FleetSimulation run = new FleetSimulation(scenario, seed);
        switch (choice) {
            case PRODUCTION -> run.startProduction();
            case POWER_OF_TWO -> run.startBaselines(false);
            case ALL_KNOWING -> run.startBaselines(true);
        }
        run.mTimeline.runFor(scenario.duration());
        Map<Endpoint, List<TargetUsageTracker.FailurePeriod>> bouts = new HashMap<>();
        run.mTargets.forEach(target -> bouts.put(target.endpoint(), target.failurePeriods()));
        return run.mTally.result(bouts, scenario.duration().toMillis());
    }

    private void startBaselines(boolean allKnowing) {
        Map<Endpoint, Integer> inFlight = new HashMap<>();
        List<Placer<FleetTarget>> placers = new ArrayList<>();
        for (int number = 0; number < mScenario.vms(); number++) {
            placers.add(
                    allKnowing
                            ? BaselinePlacer.omniscient(mTargets, inFlight, mRandom.split())
                            : BaselinePlacer.powerOfTwo(mTargets, mRandom.split()));
        }
        List<PoisonPolicy> guards = new ArrayList<>();
        placers.forEach(placer -> guards.add(new PoisonPolicy()));
        startLoads(placers, guards);
    }

    private void startProduction() {
        List<ServiceRuntime> runtimes = new ArrayList<>();
        for (int number = 0; number < mScenario.vms(); number++) {
            runtimes.add(newRuntime());
        }
        List<Placer<org.dahliapass.traffic.Slot>> placers = new ArrayList<>();
        for (int number = 0; number < runtimes.size(); number++) {
            int self = number;
            ServiceRuntime runtime = runtimes.get(number);
            runtime.setObservationListener((service, news) -> tell(runtimes, self, news));
            mTimeline.schedule(
                    mRandom.nextLong(REPORT_MILLIS),
                    () ->
                            mTimeline.schedulePeriodically(
                                    REPORT_MILLIS, () -> report(runtimes, self)));
            mTimeline.schedulePeriodically(UPKEEP_MILLIS, runtime::runMaintenance);
            placers.add(new RuntimePlacer(runtime));
        }
        startLoads(placers, productionGuards());
    }

    private ServiceRuntime newRuntime() {
        ServiceTemplate template =
                new ServiceTemplate(
                        "x",
                        "x",
                        mTargets.stream()
                                .map(
                                        target ->
                                                new org.dahliapass.model.Target(
                                                        target.endpoint(), ZONE))
                                .toList(),
                        mScenario.slots(),
                        1_000,
                        0.7,
                        1,
                        "/health",
                        "/health",
                        new DetectionPolicy(
                                0.01,
                                0.3,
                                3,
                                java.time.Duration.ofSeconds(2),
                                java.time.Duration.ofSeconds(2)),
                        mScenario.loads().stream().map(RequestLoad::kind).toList());
        ServiceRuntime runtime =
                new ServiceRuntime(
                        ZONE,
                        template,
                        mTimeline.clock(),
                        mRandom.split(),
                        new NoOpTargetEventListener(),
                        mMetrics);
        runtime.onTemplate(template);
        runtime.onTargets(
                mTargets.stream()
                        .map(
                                target ->
                                        new WeightedTarget(
                                                TargetInstance.atFixedAddress(target.endpoint()),
                                                ZONE,
                                                1,
                                                true))
                        .toList());
        return runtime;
    }

    private void tell(List<ServiceRuntime> runtimes, int self, TargetObservation news) {
        sendToOthers(runtimes, self, other -> other.onPeerObservation(news));
    }

    private void report(List<ServiceRuntime> runtimes, int self) {
        List<TargetReport> work = runtimes.get(self).drainReport();
        if (!work.isEmpty()) {
            VmIdentity vm = new VmIdentity("vm-" + self, 0);
            sendToOthers(runtimes, self, other -> other.onPeerReport(vm, work));
        }
    }

    private void sendToOthers(
            List<ServiceRuntime> runtimes, int self, Consumer<ServiceRuntime> message) {
        for (int other = 0; other < runtimes.size(); other++) {
            ServiceRuntime receiver = runtimes.get(other);
            if (other != self && mRandom.nextDouble() >= mScenario.messageLossRate()) {
                mTimeline.schedule(mScenario.messageDelayMillis(), () -> message.accept(receiver));
            }
        }
    }

    /** Lets the VMs tell each other of requests that end their targets. */
    private List<PoisonPolicy> productionGuards() {
        List<PoisonPolicy.Production> guards = new ArrayList<>();
        for (int number = 0; number < mScenario.vms(); number++) {
            guards.add(new PoisonPolicy.Production(mTimeline));
        }
        for (PoisonPolicy.Production guard : guards) {
            guard.setReportSender(news -> tellOthers(guards, guard, news));
        }
        return List.copyOf(guards);
    }

    private void tellOthers(
            List<PoisonPolicy.Production> guards,
            PoisonPolicy.Production self,
            SuspectReport news) {
        for (PoisonPolicy.Production other : guards) {
            if (other != self && mNewsRandom.nextDouble() >= mScenario.messageLossRate()) {
                mTimeline.schedule(mScenario.messageDelayMillis(), () -> other.onPeerReport(news));
            }
        }
    }

    private void endRack() {
        mTargets.stream()
                .limit(Math.round(mScenario.rackShare() * mTargets.size()))
                .forEach(FleetTarget::crash);
    }

    private <S> void startLoads(List<Placer<S>> placers, List<PoisonPolicy> guards) {
        if (mScenario.rackShare() > 0) {
            mTimeline.schedule(mScenario.duration().toMillis() / 3, this::endRack);
        }
        for (int vm = 0; vm < placers.size(); vm++) {
            for (FleetTarget target : mTargets) {
                if (mRandom.nextDouble() < mScenario.lossyPathShare()) {
                    mCutPaths.add(vm + "/" + target.endpoint());
                }
            }
        }
        for (RequestLoad load : mScenario.loads()) {
            arrive(load, placers, guards, mRandom.split());
        }
    }

    private <S> void arrive(
            RequestLoad load,
            List<Placer<S>> placers,
            List<PoisonPolicy> guards,
            SplittableRandom random) {
        double factor =
                mScenario.isMiddleThird(mTimeline.elapsedMillis()) ? mScenario.burstFactor() : 1;
        double meanMillis = 1_000 / (load.requestsPerSecond() * factor);
        mTimeline.schedule(
                Math.round(-meanMillis * Math.log(1 - random.nextDouble())),
                () -> {
                    int vm = random.nextInt(placers.size());
                    new SimulatedRequest<>(
                                    load,
                                    placers.get(vm),
                                    new Paths(vm),
                                    mTimeline,
                                    mTally,
                                    guards.get(vm),
                                    digest(load))
                            .start();
                    arrive(load, placers, guards, random);
                });
    }

    private RequestDigest digest(RequestLoad load) {
        long number =
                load.distinctRequests() == 0
                        ? mRequestNumber++
                        : mDigestRandom.nextInt(load.distinctRequests());
        return new RequestDigest(load.kind().name().hashCode(), number);
    }

    /** The ways of one VM to all targets. */
    private final class Paths implements SimulatedRequest.Network {
        private final int mVm;

        private Paths(int vm) {
            mVm = vm;
        }

        @Override
        public void send(
                Endpoint target,
                RequestLoad load,
                RequestDigest digest,
                Consumer<FailureKind> end) {
            if (mScenario.isMiddleThird(mTimeline.elapsedMillis())
                    && mCutPaths.contains(mVm + "/" + target)) {
                return;
            }
            FleetTarget reached = target(target);
            if (load.crashesTarget() && !reached.isDown()) {
                mTally.onPoisonDelivered(mTimeline.elapsedMillis());
            } else {
                mTally.onDelivered(target, mTimeline.elapsedMillis());
            }
            reached.accept(load, end);
        }

        @Override
        public FleetTarget target(Endpoint target) {
            return mByEndpoint.get(target);
        }
    }
}
