package org.dahliapass.lab.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.model.Endpoint;

/**
 * A baseline placer: either power of two choices by one VM's own in-flight counts, or an omniscient
 * choice by the actual state of all targets.
 */
final class BaselinePlacer implements Placer<FleetTarget> {
    /** The cost of a rejection, in requests in flight: a target with more is full. */
    private static final double REJECTION_COST = 10;

    private final List<FleetTarget> mTargets;
    private final Map<Endpoint, Integer> mInFlight;
    private final SplittableRandom mRandom;
    private final boolean mOmniscient;

    private BaselinePlacer(
            List<FleetTarget> targets,
            Map<Endpoint, Integer> inFlight,
            SplittableRandom random,
            boolean omniscient) {
        mTargets = targets;
        mInFlight = inFlight;
        mRandom = random;
        mOmniscient = omniscient;
    }

    /** Returns a placer that picks the less loaded of two random targets. */
    static BaselinePlacer powerOfTwo(List<FleetTarget> targets, SplittableRandom random) {
        return new BaselinePlacer(targets, new HashMap<>(), random, false);
    }

    /**
     * Returns a placer that knows the load and the failures of all targets.
     *
     * @param inFlight the requests in flight per target, shared by the placers of all VMs
     */
    static BaselinePlacer omniscient(
            List<FleetTarget> targets, Map<Endpoint, Integer> inFlight, SplittableRandom random) {
        return new BaselinePlacer(targets, inFlight, random, true);
    }

    @Override
    public CompletableFuture<FleetTarget> acquire(SimulatedRequest<FleetTarget> request) {
        return CompletableFuture.completedFuture(choose(Set.of()));
    }

    @Override
    public Optional<FleetTarget> retry(
            SimulatedRequest<FleetTarget> request, FailedAttempt failed) {
        boolean allowed = failed.kind().idempotency().isRepeatable() || !failed.mayHaveRun();
        return allowed && failed.attempts() < 2
                ? Optional.of(choose(failed.tried()))
                : Optional.empty();
    }

    @Override
    public long hedgeDelayMillis(RequestLoad load) {
        return -1;
    }

    @Override
    public Optional<FleetTarget> hedge(SimulatedRequest<FleetTarget> request, Set<Endpoint> tried) {
        return Optional.empty();
    }

    @Override
    public Endpoint target(FleetTarget target) {
        return target.endpoint();
    }

    @Override
    public void release(FleetTarget target, Outcome outcome, long latencyMillis) {
        mInFlight.merge(target.endpoint(), -1, Integer::sum);
    }

    private FleetTarget choose(Set<Endpoint> tried) {
        FleetTarget best = draw();
        int candidates = mOmniscient ? 4 * mTargets.size() : 1;
        for (int number = 0; number < candidates; number++) {
            FleetTarget next = draw();
            if (cost(next, tried) < cost(best, tried)) {
                best = next;
            }
        }
        mInFlight.merge(best.endpoint(), 1, Integer::sum);
        return best;
    }

    private FleetTarget draw() {
        return mTargets.get(mRandom.nextInt(mTargets.size()));
    }

    private double cost(FleetTarget target, Set<Endpoint> tried) {
        int inFlight = mInFlight.getOrDefault(target.endpoint(), 0);
        boolean avoided = tried.contains(target.endpoint()) || (mOmniscient && target.isFailing());
        double rejected = mOmniscient ? 1 - target.acceptedShare() : 0;
        return avoided ? inFlight + 1_000_000 : inFlight + REJECTION_COST * rejected;
    }
}
