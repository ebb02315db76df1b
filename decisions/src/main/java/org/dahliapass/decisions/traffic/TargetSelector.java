package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.acceptance.AcceptanceModel;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * Selects one of the targets that have a free slot.
 *
 * <p>Prefers the lowest loss probability, then the lowest load, then this VM's zone. A target that
 * failed gets no requests until waiting for a better one costs more than the risk, or until too few
 * targets are in use ({@link FloorSharePolicy}).
 *
 * <p>Not thread-safe; guarded by the service's lock. A call is O(targets x VMs that report).
 */
final class TargetSelector {
    /**
     * Targets above this probability of being failing or partitioned get no requests while enough
     * others are acceptable. Waiting for another target costs less than a lost request, but a lower
     * limit makes requests wait too long in a burst.
     */
    private static final double MAX_FAILURE_PROBABILITY = 0.6;

    /**
     * If a smaller share of the targets is acceptable, all are used: the cause is probably this
     * VM's network path or a common overload, and the remaining targets would be overloaded.
     */
    private static final double MIN_ACCEPTABLE_SHARE = 0.34;

    /**
     * The cost of using a target's last slot, as a loss probability; some targets slow down near
     * full load, and peers' reports are delayed.
     */
    private static final double FULL_LOAD_COST = 0.1;

    /**
     * The cost of a target that asked another VM for a rest, as a loss probability. Less than a
     * target that is probably failing costs, since the target may have been full for a moment.
     */
    private static final double PEER_REST_COST = 0.1;

    /**
     * The cost difference, as a loss probability, at which a target is selected e times less often.
     * Randomization keeps the VMs from all selecting the same target.
     */
    private static final double COST_SCALE = 0.01;

    /**
     * The share of the loss cost that counts for requests that may be repeated, at a service whose
     * other requests must not be repeated. A retry makes good their loss, and the most reliable
     * targets are left to the others.
     */
    private static final double REPEATABLE_LOSS_COST = 0.3;

    /**
     * The value of a new observation of a target that was not observed recently, as a loss
     * probability. About what the failure probability drifts by in one or two seconds.
     */
    private static final double EXPLORATION_VALUE = 0.15;

    /**
     * If a smaller share of the targets accepts well, all are used by their probability of
     * acceptance: the others could not carry the load, and one that accepts again would get all.
     */
    private static final double MIN_ACCEPTING_SHARE = 1 / 3.0;

    /** The age at which a new observation has reached two thirds of its value. */
    private static final double EXPLORATION_AGE_MILLIS = 2_000;

    private final String mZone;
    private final TrafficPolicy mPolicy;
    private final AcceptanceModel mAcceptance;
    private final SlotTable mSlots;
    private final PassiveFailureDetector mFailureDetector;
    private final RandomGenerator mRandom;
    private final FloorSharePolicy mFloorSharePolicy;

    /**
     * Creates a selector.
     *
     * @param zone this VM's availability zone
     * @param policy which mechanisms the selection uses
     * @param acceptance the probability that targets accept a request
     * @param floorShare the share of the healthy targets that must stay in use; 0 for none
     */
    TargetSelector(
            String zone,
            TrafficPolicy policy,
            AcceptanceModel acceptance,
            double floorShare,
            SlotTable slots,
            PassiveFailureDetector failureDetector,
            RandomGenerator random) {
        mZone = zone;
        mPolicy = policy;
        mAcceptance = acceptance;
        mFloorSharePolicy = new FloorSharePolicy(floorShare, failureDetector);
        mSlots = slots;
        mFailureDetector = failureDetector;
        mRandom = random;
    }

    /**
     * Selects a target.
     *
     * @param attempt which attempt of a request it is for
     * @param free targets with a free slot for this kind
     * @param all all targets of the service
     * @return the target; empty if waiting for another one is better
     */
    Optional<Endpoint> select(
            RequestKind kind,
            AttemptOrder attempt,
            List<WeightedTarget> free,
            List<WeightedTarget> all,
            long nowMillis) {
        List<WeightedTarget> best = nearest(kind, acceptable(free, all, nowMillis));
        if (mAcceptance.isEmpty()) {
            return selectAbove(kind, attempt, best, free, all, nowMillis);
        }
        if (isAcceptanceScarce(all, nowMillis)) {
            return sample(kind, attempt, accepting(attempt, best, nowMillis), true, nowMillis);
        }
        if (attempt == AttemptOrder.FIRST) {
            Optional<Endpoint> trial = dueTrial(kind, best, nowMillis);
            if (trial.isPresent()) {
                return trial;
            }
        }
        return selectAbove(
                kind,
                attempt,
                accepting(attempt, notShedding(best, nowMillis), nowMillis),
                accepting(attempt, notShedding(free, nowMillis), nowMillis),
                notShedding(all, nowMillis),
                nowMillis);
    }

    /** Selects one of the best targets, or an idle one while too few are in use. */
    private Optional<Endpoint> selectAbove(
            RequestKind kind,
            AttemptOrder attempt,
            List<WeightedTarget> best,
            List<WeightedTarget> free,
            List<WeightedTarget> all,
            long nowMillis) {
        List<WeightedTarget> targets =
                mFloorSharePolicy.select(best, nearest(kind, free), nearest(kind, all), nowMillis);
        return sample(kind, attempt, targets, false, nowMillis);
    }

    /**
     * Selects a target for a retry, which can't wait: accepts an unreliable target if there is no
     * other.
     */
    Optional<Endpoint> selectForRetry(
            RequestKind kind, List<WeightedTarget> free, List<WeightedTarget> all, long nowMillis) {
        Optional<Endpoint> chosen = select(kind, AttemptOrder.LATER, free, all, nowMillis);
        return chosen.isPresent()
                ? chosen
                : sample(
                        kind,
                        AttemptOrder.LATER,
                        accepting(AttemptOrder.LATER, free, nowMillis),
                        false,
                        nowMillis);
    }

    /** Returns whether too few targets accept well to carry the load of all. */
    private boolean isAcceptanceScarce(List<WeightedTarget> all, long nowMillis) {
        long accepting =
                all.stream()
                        .filter(target -> mAcceptance.acceptsWell(target.endpoint(), nowMillis))
                        .count();
        return accepting < MIN_ACCEPTING_SHARE * all.size();
    }

    /** Returns the target that sheds and whose trial has been due for longest. */
    private Optional<Endpoint> dueTrial(
            RequestKind kind, List<WeightedTarget> targets, long nowMillis) {
        boolean mayRepeat = kind.idempotency().isRepeatable();
        Endpoint due = null;
        long longestMillis = -1;
        for (WeightedTarget target : targets) {
            long millis = mAcceptance.trialDueMillis(target.endpoint(), mayRepeat, nowMillis);
            if (millis > longestMillis) {
                due = target.endpoint();
                longestMillis = millis;
            }
        }
        return Optional.ofNullable(due);
    }

    private List<WeightedTarget> notShedding(List<WeightedTarget> targets, long nowMillis) {
        return targets.stream()
                .filter(target -> !mAcceptance.isShedding(target.endpoint(), nowMillis))
                .toList();
    }

    /** Returns the targets that accept well, if the request can't be sent again; else all. */
    private List<WeightedTarget> accepting(
            AttemptOrder attempt, List<WeightedTarget> targets, long nowMillis) {
        if (attempt == AttemptOrder.FIRST || mAcceptance.isEmpty()) {
            return targets;
        }
        List<WeightedTarget> accepting =
                targets.stream()
                        .filter(target -> mAcceptance.acceptsWell(target.endpoint(), nowMillis))
                        .toList();
        return accepting.isEmpty() ? targets : accepting;
    }

    /**
     * Keeps large responses within the availability zone while a target there has a free slot,
     * since traffic between zones is the most expensive.
     */
    private List<WeightedTarget> nearest(RequestKind kind, List<WeightedTarget> targets) {
        if (!kind.bulky()) {
            return targets;
        }
        List<WeightedTarget> local =
                targets.stream().filter(target -> target.zone().equals(mZone)).toList();
        return local.isEmpty() ? targets : local;
    }

    /**
     * Returns the targets that may get the request, preferring those that did not shed load
     * recently.
     */
    private List<WeightedTarget> acceptable(
            List<WeightedTarget> free, List<WeightedTarget> all, long nowMillis) {
        long acceptableCount =
                all.stream().filter(target -> isAcceptable(target, nowMillis)).count();
        if (acceptableCount < MIN_ACCEPTABLE_SHARE * all.size()) {
            return free;
        }
        List<WeightedTarget> acceptable = new ArrayList<>(free);
        acceptable.removeIf(target -> !isAcceptable(target, nowMillis));
        if (mPolicy.learnsAcceptance()) {
            return acceptable;
        }
        List<WeightedTarget> notCoolingDown =
                acceptable.stream()
                        .filter(
                                target ->
                                        !mFailureDetector.isCoolingDown(
                                                target.endpoint(), nowMillis))
                        .toList();
        return notCoolingDown.isEmpty() ? acceptable : notCoolingDown;
    }

    private boolean isAcceptable(WeightedTarget target, long nowMillis) {
        Endpoint endpoint = target.endpoint();
        return mFailureDetector.failingProbability(endpoint, nowMillis) <= MAX_FAILURE_PROBABILITY
                && mFailureDetector.partitionProbability(endpoint, nowMillis)
                        <= MAX_FAILURE_PROBABILITY;
    }

    /**
     * Samples a target with a probability proportional to its weight and decreasing with its cost,
     * by the Gumbel-max method.
     *
     * @param byAcceptance whether the weight is multiplied by the probability of acceptance;
     *     otherwise a rejection is part of the cost
     */
    private Optional<Endpoint> sample(
            RequestKind kind,
            AttemptOrder attempt,
            List<WeightedTarget> targets,
            boolean byAcceptance,
            long nowMillis) {
        boolean mayRepeat = HedgePolicy.mayHedge(kind);
        WeightedTarget best = null;
        double maxSampled = Double.NEGATIVE_INFINITY;
        for (WeightedTarget target : targets) {
            double accepted = mAcceptance.probability(target.endpoint(), nowMillis);
            double rejectionCost = byAcceptance ? 0 : (1 - accepted) * attempt.rejectionCost();
            double weight = byAcceptance ? target.weight() * accepted : target.weight();
            double cost = cost(mayRepeat, target, nowMillis) + rejectionCost;
            double logOdds = Math.log(weight) - cost / COST_SCALE;
            double sampled = logOdds - Math.log(-Math.log(1 - mRandom.nextDouble()));
            if (sampled > maxSampled) {
                best = target;
                maxSampled = sampled;
            }
        }
        return Optional.ofNullable(best).map(WeightedTarget::endpoint);
    }

    private double cost(boolean mayRepeat, WeightedTarget target, long nowMillis) {
        Endpoint endpoint = target.endpoint();
        double inFlight = mSlots.ownInFlight(endpoint) + mSlots.peersInFlight(endpoint, nowMillis);
        double load = inFlight / mSlots.slotsPerTarget() / target.weight();
        double lossProbability = mFailureDetector.lossProbability(endpoint, nowMillis);
        double restCost = mFailureDetector.isPeerResting(endpoint, nowMillis) ? PEER_REST_COST : 0;
        double zoneCost = target.zone().equals(mZone) ? 0 : mPolicy.zoneCrossingCost();
        double otherCost = FULL_LOAD_COST * load + restCost + zoneCost;
        if (!mayRepeat) {
            return lossProbability + otherCost;
        }
        double nonRepeatableShare = mFailureDetector.nonRepeatableShare();
        double lossWeight = 1 - (1 - REPEATABLE_LOSS_COST) * nonRepeatableShare;
        long age = nowMillis - mFailureDetector.lastObservedMillis(endpoint);
        double explorationValue =
                EXPLORATION_VALUE
                        * nonRepeatableShare
                        * (1 - Math.exp(-age / EXPLORATION_AGE_MILLIS));
        return lossWeight * lossProbability + otherCost - explorationValue;
    }
}
