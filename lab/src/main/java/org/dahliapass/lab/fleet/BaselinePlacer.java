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
 * What is compared with: the less loaded of two random targets by a VM's own count, or a choice by
 * the true state of all targets, which no VM can know.
 */
final class BaselinePlacer implements Placer<FleetTarget> {
    private final List<FleetTarget> mTargets;
    private final Map<Endpoint, Integer> mInFlight;
    private final SplittableRandom mRandom;
    private final boolean mAllKnowing;

    private BaselinePlacer(
            List<FleetTarget> targets,
            Map<Endpoint, Integer> inFlight,
            SplittableRandom random,
            boolean allKnowing) {
        mTargets = targets;
        mInFlight = inFlight;
        mRandom = random;
        mAllKnowing = allKnowing;
    }

    /** Returns one VM's choice between two random targets. */
    static BaselinePlacer powerOfTwo(List<FleetTarget> targets, SplittableRandom random) {
        return new BaselinePlacer(targets, new HashMap<>(), random, false);
    }

    /**
     * Returns a choice by the true state of all targets.
     *
     * @param inFlight what all VMs have in flight, shared by them
     */
    static BaselinePlacer omniscient(
            List<FleetTarget> targets, Map<Endpoint, Integer> inFlight, SplittableRandom random) {
        return new BaselinePlacer(targets, inFlight, random, true);
    }

    @Override
    public CompletableFuture<FleetTarget> acquire(SimulatedRequest<FleetTarget> attempt) {
        return CompletableFuture.completedFuture(choose(Set.of()));
    }

    @Override
    public Optional<FleetTarget> retry(
            SimulatedRequest<FleetTarget> attempt, FailedAttempt failed) {
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
    public Optional<FleetTarget> hedge(SimulatedRequest<FleetTarget> attempt, Set<Endpoint> tried) {
        return Optional.empty();
    }

    @Override
    public Endpoint target(FleetTarget place) {
        return place.endpoint();
    }

    @Override
    public void release(FleetTarget place, Outcome outcome, long tookMillis) {
        mInFlight.merge(place.endpoint(), -1, Integer::sum);
    }

    private FleetTarget choose(Set<Endpoint> tried) {
        FleetTarget best = draw();
        int tries = mAllKnowing ? 4 * mTargets.size() : 1;
        for (int number = 0; number < tries; number++) {
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

    private int cost(FleetTarget target, Set<Endpoint> tried) {
        int inFlight = mInFlight.getOrDefault(target.endpoint(), 0);
        boolean avoided = tried.contains(target.endpoint()) || (mAllKnowing && target.isFailing());
        return avoided ? inFlight + 1_000_000 : inFlight;
    }
}
