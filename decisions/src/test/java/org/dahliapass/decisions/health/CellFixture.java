package org.dahliapass.decisions.health;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Target;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.model.explain.Action;
import org.dahliapass.model.explain.Explanation;

/** A simulated cell with one service, whose reports reach all VMs within the same tick. */
final class CellFixture {
    static final String KIND = "lookup";
    private static final int MAX_ROUNDS = 1_000;
    static final long TICK_MILLIS = 250;
    private static final double TOLERANCE = 0.001;

    final List<TargetHealth> mVms = new ArrayList<>();
    final List<Explanation> mExplanations = new ArrayList<>();
    long mNowMillis = 1_000_000;

    CellFixture(int vms, int targets) {
        this(vms, targets, FloorPolicy.ENFORCED);
    }

    CellFixture(int vms, int targets, FloorPolicy floorPolicy) {
        this(vms, template(targets), floorPolicy);
    }

    CellFixture(int vms, int targets, double tolerance) {
        this(vms, template(targets, tolerance), FloorPolicy.ENFORCED);
    }

    private CellFixture(int vms, ServiceTemplate template, FloorPolicy floorPolicy) {
        for (int vm = 0; vm < vms; vm++) {
            mVms.add(
                    new TargetHealth(
                            new VmIdentity("vm" + vm, 1),
                            "zone" + vm % 3,
                            template,
                            floorPolicy,
                            mNowMillis));
        }
    }

    static ServiceTemplate template(int targets) {
        return template(targets, TOLERANCE);
    }

    private static ServiceTemplate template(int targets, double tolerance) {
        DetectionPolicy policy =
                new DetectionPolicy(
                        tolerance, 0.3, 3, Duration.ofSeconds(10), Duration.ofSeconds(5));
        List<Target> list = new ArrayList<>();
        for (int index = 0; index < targets; index++) {
            list.add(new Target(endpoint(index), "zone" + index % 3));
        }
        return new ServiceTemplate(
                "desk", "himal", list, 3, 350, 0.6, 6, "/health", "/load", policy, List.of());
    }

    static Endpoint endpoint(int index) {
        return new Endpoint("10.0.0." + (index + 1), 80);
    }

    TargetHealth vm(int index) {
        return mVms.get(index);
    }

    TargetState state(int vm, int target) {
        return vm(vm).view().targets().get(endpoint(target)).state();
    }

    double weight(int vm, int target) {
        return vm(vm).view().weight(endpoint(target));
    }

    boolean hasExplanation(Action action) {
        return count(action) > 0;
    }

    long count(Action action) {
        return mExplanations.stream().filter(explanation -> explanation.action() == action).count();
    }

    /** Sends one request from each VM to each target with a positive weight, then ticks. */
    void round(BiFunction<Integer, Integer, Outcome> outcomes) {
        round(outcomes, (vm, target) -> 50L);
    }

    void round(
            BiFunction<Integer, Integer, Outcome> outcomes,
            BiFunction<Integer, Integer, Long> latencies) {
        for (int vm = 0; vm < mVms.size(); vm++) {
            int targets = vm(vm).view().targets().size();
            for (int target = 0; target < targets; target++) {
                if (weight(vm, target) > 0) {
                    vm(vm).onOutcome(
                                    endpoint(target),
                                    KIND,
                                    outcomes.apply(vm, target),
                                    latencies.apply(vm, target),
                                    mNowMillis);
                }
            }
        }
        tick();
    }

    /** Runs rounds of successes in which the first target has a higher latency. */
    void slowRounds(int count, long latencyMillis) {
        for (int round = 0; round < count; round++) {
            round(
                    (vm, target) -> Outcome.SUCCESS,
                    (vm, target) -> target == 0 ? latencyMillis : 50L);
        }
    }

    void rounds(int count, BiFunction<Integer, Integer, Outcome> outcomes) {
        for (int round = 0; round < count; round++) {
            round(outcomes);
        }
    }

    /** Runs rounds until the first target reaches a state at the first VM; returns their number. */
    int roundsUntil(TargetState state, BiFunction<Integer, Integer, Outcome> outcomes) {
        for (int rounds = 0; rounds < MAX_ROUNDS; rounds++) {
            if (state(0, 0) == state) {
                return rounds;
            }
            round(outcomes);
        }
        throw new AssertionError(
                "state is " + state(0, 0) + " after " + MAX_ROUNDS + " rounds, expected " + state);
    }

    void tick() {
        mNowMillis += TICK_MILLIS;
        for (TargetHealth sender : mVms) {
            EvidenceReport report = sender.takeReport(mNowMillis);
            mVms.forEach(receiver -> receiver.onPeerEvidence(report, mNowMillis));
        }
        for (TargetHealth vm : mVms) {
            vm.onTick(mNowMillis);
            mExplanations.addAll(vm.takeExplanations());
        }
    }
}
