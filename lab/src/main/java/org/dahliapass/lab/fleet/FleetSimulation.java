package org.dahliapass.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.dahliapass.decisions.acceptance.LoadStatement;
import org.dahliapass.decisions.availability.AvailabilityStatement;
import org.dahliapass.decisions.availability.TargetAvailability;
import org.dahliapass.decisions.limits.LimitStatement;
import org.dahliapass.decisions.limits.LimitingVms;
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

/** A simulation of one scenario with one seed and one placement strategy. */
final class FleetSimulation {
    private static final long REPORT_MILLIS = 100;
    private static final long MAINTENANCE_MILLIS = 250;
    private static final int FIRST_PORT = 10_000;
    private static final String ZONE = "a";

    private final Scenario mScenario;
    private final SplittableRandom mRandom;
    private final EventScheduler mScheduler = new EventScheduler();
    private final FleetStatistics mStatistics = new FleetStatistics();
    private final List<FleetTarget> mTargets = new ArrayList<>();
    private final Map<Endpoint, FleetTarget> mTargetsByEndpoint = new HashMap<>();
    private final Set<String> mLossyPaths = new HashSet<>();
    private final EntryMetrics mMetrics = new EntryMetrics();

    /** Separate, so that drawing digests does not change the other random draws. */
    private final SplittableRandom mDigestRandom;

    private final SplittableRandom mReportRandom;
    private long mRequestNumber;

    private FleetSimulation(Scenario scenario, long seed) {
        mScenario = scenario;
        mRandom = new SplittableRandom(seed);
        mDigestRandom = new SplittableRandom(~seed);
        mReportRandom = mDigestRandom.split();
        for (int number = 0; number < scenario.targets(); number++) {
            Endpoint endpoint = new Endpoint("10.0.0.1", FIRST_PORT + number);
            FleetTarget target =
                    new FleetTarget(scenario, mScheduler, mRandom.split(), endpoint, mStatistics);
            if (number < Math.round(scenario.limitedShare() * scenario.targets())) {
                target.setLimited();
            }
            if (number < Math.round(scenario.restingShare() * scenario.targets())) {
                target.setResting();
            }
            if (number < Math.round(scenario.leavingShare() * scenario.targets())) {
                target.setLeaving();
            }
            if (number < Math.round(scenario.sheddingShare() * scenario.targets())) {
                target.setShedding();
            }
            mTargets.add(target);
            mTargetsByEndpoint.put(endpoint, target);
        }
    }

    /** Runs a scenario and returns its results. */
    static FleetResult simulate(Scenario scenario, PlacementStrategy strategy, long seed) {
        FleetSimulation simulation = new FleetSimulation(scenario, seed);
        switch (strategy) {
            case PRODUCTION -> simulation.startProduction();
            case POWER_OF_TWO -> simulation.startBaselines(false);
            case ALL_KNOWING -> simulation.startBaselines(true);
        }
        simulation.mScheduler.runFor(scenario.duration());
        Map<Endpoint, List<TargetUsageTracker.FailurePeriod>> failurePeriods = new HashMap<>();
        simulation.mTargets.forEach(
                target -> failurePeriods.put(target.endpoint(), target.failurePeriods()));
        return simulation.mStatistics.result(failurePeriods, scenario.duration().toMillis());
    }

    private void startBaselines(boolean omniscient) {
        Map<Endpoint, Integer> inFlight = new HashMap<>();
        List<Placer<FleetTarget>> placers = new ArrayList<>();
        for (int number = 0; number < mScenario.vms(); number++) {
            placers.add(
                    omniscient
                            ? BaselinePlacer.omniscient(mTargets, inFlight, mRandom.split())
                            : BaselinePlacer.powerOfTwo(mTargets, mRandom.split()));
        }
        List<PoisonPolicy> poisonPolicies = new ArrayList<>();
        placers.forEach(placer -> poisonPolicies.add(new PoisonPolicy()));
        startLoads(placers, poisonPolicies);
    }

    private void startProduction() {
        List<ServiceRuntime> runtimes = new ArrayList<>();
        for (int number = 0; number < mScenario.vms(); number++) {
            runtimes.add(newRuntime(vmName(number)));
        }
        List<Placer<org.dahliapass.traffic.Slot>> placers = new ArrayList<>();
        for (int number = 0; number < runtimes.size(); number++) {
            int self = number;
            ServiceRuntime runtime = runtimes.get(number);
            runtime.setObservationListener(
                    (service, observation) -> broadcastObservation(runtimes, self, observation));
            mScheduler.schedule(
                    mRandom.nextLong(REPORT_MILLIS),
                    () ->
                            mScheduler.schedulePeriodically(
                                    REPORT_MILLIS, () -> broadcastReports(runtimes, self)));
            mScheduler.schedulePeriodically(MAINTENANCE_MILLIS, runtime::runMaintenance);
            placers.add(new RuntimePlacer(runtime));
        }
        startLoads(placers, productionPolicies());
    }

    private static String vmName(int number) {
        return "vm-" + number;
    }

    private ServiceRuntime newRuntime(String self) {
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
                        mScheduler.clock(),
                        mRandom.split(),
                        new NoOpTargetEventListener(),
                        mMetrics,
                        mScenario.limitSharing(),
                        new TargetAvailability(mRandom.split()),
                        mScenario.policy());
        List<String> vms =
                IntStream.range(0, mScenario.vms()).mapToObj(FleetSimulation::vmName).toList();
        runtime.setLimitingVms(() -> new LimitingVms(self, vms, vms.size(), false));
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

    private void broadcastObservation(
            List<ServiceRuntime> runtimes, int self, TargetObservation observation) {
        sendToOthers(runtimes, self, other -> other.onPeerObservation(observation));
    }

    private void broadcastReports(List<ServiceRuntime> runtimes, int self) {
        runtimes.get(self)
                .recentRests(REPORT_MILLIS)
                .forEach(
                        (target, restMillis) ->
                                sendToOthers(
                                        runtimes,
                                        self,
                                        other -> other.onPeerRest(target, restMillis)));
        List<TargetReport> reports = runtimes.get(self).drainReport();
        if (!reports.isEmpty()) {
            VmIdentity vm = new VmIdentity(vmName(self), 0);
            sendToOthers(runtimes, self, other -> other.onPeerReport(vm, reports));
        }
    }

    private void sendToOthers(
            List<ServiceRuntime> runtimes, int self, Consumer<ServiceRuntime> message) {
        for (int other = 0; other < runtimes.size(); other++) {
            ServiceRuntime receiver = runtimes.get(other);
            if (other != self && mRandom.nextDouble() >= mScenario.messageLossRate()) {
                mScheduler.schedule(mScenario.messageDelayMillis(), () -> message.accept(receiver));
            }
        }
    }

    /** Returns one policy per VM, connected to those of the other VMs. */
    private List<PoisonPolicy> productionPolicies() {
        List<PoisonPolicy.Production> poisonPolicies = new ArrayList<>();
        for (int number = 0; number < mScenario.vms(); number++) {
            poisonPolicies.add(new PoisonPolicy.Production(mScheduler));
        }
        for (PoisonPolicy.Production policy : poisonPolicies) {
            policy.setReportSender(report -> broadcastReport(poisonPolicies, policy, report));
        }
        return List.copyOf(poisonPolicies);
    }

    private void broadcastReport(
            List<PoisonPolicy.Production> poisonPolicies,
            PoisonPolicy.Production self,
            SuspectReport report) {
        for (PoisonPolicy.Production other : poisonPolicies) {
            if (other != self && mReportRandom.nextDouble() >= mScenario.messageLossRate()) {
                mScheduler.schedule(
                        mScenario.messageDelayMillis(), () -> other.onPeerReport(report));
            }
        }
    }

    private void crashRack() {
        mTargets.stream()
                .limit(Math.round(mScenario.rackShare() * mTargets.size()))
                .forEach(FleetTarget::crash);
    }

    private <S> void startLoads(List<Placer<S>> placers, List<PoisonPolicy> poisonPolicies) {
        if (mScenario.rackShare() > 0) {
            mScheduler.schedule(mScenario.duration().toMillis() / 3, this::crashRack);
        }
        for (int vm = 0; vm < placers.size(); vm++) {
            for (FleetTarget target : mTargets) {
                if (mRandom.nextDouble() < mScenario.lossyPathShare()) {
                    mLossyPaths.add(vm + "/" + target.endpoint());
                }
            }
        }
        for (RequestLoad load : mScenario.loads()) {
            scheduleArrival(load, placers, poisonPolicies, mRandom.split());
        }
    }

    private <S> void scheduleArrival(
            RequestLoad load,
            List<Placer<S>> placers,
            List<PoisonPolicy> poisonPolicies,
            SplittableRandom random) {
        double factor =
                mScenario.isMiddleThird(mScheduler.elapsedMillis()) ? mScenario.burstFactor() : 1;
        double meanMillis = 1_000 / (load.requestsPerSecond() * factor);
        mScheduler.schedule(
                Math.round(-meanMillis * Math.log(1 - random.nextDouble())),
                () -> {
                    int vm = random.nextInt(placers.size());
                    new SimulatedRequest<>(
                                    load,
                                    placers.get(vm),
                                    new VmNetwork(vm),
                                    mScheduler,
                                    mStatistics,
                                    poisonPolicies.get(vm),
                                    digest(load))
                            .start();
                    scheduleArrival(load, placers, poisonPolicies, random);
                });
    }

    private RequestDigest digest(RequestLoad load) {
        long number =
                load.distinctRequests() == 0
                        ? mRequestNumber++
                        : mDigestRandom.nextInt(load.distinctRequests());
        return new RequestDigest(load.kind().name().hashCode(), number);
    }

    /** The network between one VM and all targets. */
    private final class VmNetwork implements SimulatedRequest.Network {
        private final int mVm;

        private VmNetwork(int vm) {
            mVm = vm;
        }

        @Override
        public void send(
                Endpoint target,
                RequestLoad load,
                RequestDigest digest,
                long arrivalMillis,
                Consumer<FailureKind> callback) {
            if (mScenario.isMiddleThird(mScheduler.elapsedMillis())
                    && mLossyPaths.contains(mVm + "/" + target)) {
                return;
            }
            FleetTarget receiver = target(target);
            mStatistics
                    .availability()
                    .onDelivered(mVm, target, arrivalMillis, mScheduler.elapsedMillis());
            if (receiver.isResting()) {
                mStatistics.availability().onTurnedAway(target, mScheduler.elapsedMillis());
            }
            if (!receiver.limitStatement().equals(LimitStatement.UNLIMITED)) {
                mStatistics.onDeliveredToLimited(mVm, target, mScheduler.elapsedMillis());
            }
            if (load.crashesTarget() && !receiver.isDown()) {
                mStatistics.onPoisonDelivered(mScheduler.elapsedMillis());
            } else {
                mStatistics.onDelivered(target, mScheduler.elapsedMillis());
            }
            boolean isWave = mScenario.isKnownWave(mScheduler.elapsedMillis());
            if (isWave) {
                mStatistics.onWaveArrival();
            }
            receiver.accept(
                    load,
                    failure -> {
                        if (isWave && failure == FailureKind.REFUSED_NOT_PROCESSED) {
                            mStatistics.onWaveRejection();
                        }
                        callback.accept(failure);
                    });
        }

        @Override
        public FleetTarget target(Endpoint target) {
            return mTargetsByEndpoint.get(target);
        }

        @Override
        public AvailabilityStatement readAvailability(Endpoint target, boolean isRefused) {
            AvailabilityStatement statement = target(target).availabilityStatement();
            if (statement.isLeaving()) {
                mStatistics.availability().onLeavingStated(mVm, target, mScheduler.elapsedMillis());
            }
            if (isRefused && statement.restMillis().isPresent()) {
                mStatistics
                        .availability()
                        .onRestStated(
                                mVm,
                                target,
                                statement.restMillis().getAsLong(),
                                mScheduler.elapsedMillis());
            }
            return isRefused
                    ? statement
                    : new AvailabilityStatement(
                            statement.isLeaving(), OptionalLong.empty(), List.of());
        }

        @Override
        public LoadStatement readLoad(Endpoint target) {
            return target(target).loadStatement();
        }

        @Override
        public LimitStatement readLimit(Endpoint target) {
            LimitStatement statement = target(target).limitStatement();
            if (statement instanceof LimitStatement.Limited limited) {
                mStatistics.onLimitNamed(
                        mVm, target, limited.requestsPerSecond(), mScheduler.elapsedMillis());
            }
            return statement;
        }
    }
}
