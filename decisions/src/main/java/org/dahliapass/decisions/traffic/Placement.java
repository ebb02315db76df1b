package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * Chooses one of the targets that have a free slot.
 *
 * <p>A request goes where the chance of a hang is least, and among equals where the load is less.
 * Requests that may repeat look after the targets whose last proof is oldest: their loss is made
 * good by a hedge, and the proof that they bring tells where requests that must not repeat are
 * safe.
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. A
 * choice costs O(targets x VMs that report).
 */
final class Placement {
    /**
     * A target that hangs with a greater chance than this gets nothing but trials: waiting a while
     * for another one costs less than a lost request. Above what is known of a target without any
     * proof, 0.3.
     */
    private static final double MOST_CHANCE = 0.4;

    /** What is taken for the chance of a target whose last work failed. */
    private static final double CHANCE_AFTER_FAILURE = 0.6;

    /**
     * Doubtful targets are passed over only while at least this share of all is left. If most look
     * bad, the cause is rather this VM's path or a load that all of them suffer from, and the few
     * others would drown.
     */
    private static final double LEAST_SHARE = 0.34;

    /**
     * What a target's last slot costs, as a chance of loss: some targets slow down when nearly
     * full, and the age of a proof by which the chance of a hang grows as much is 0.9 s.
     */
    private static final double FULL_LOAD_COST = 0.03;

    /**
     * Draws of which the best is taken. More would lead all VMs to the same target before they hear
     * of each other, fewer would miss the well proven ones.
     */
    private static final int DRAWS = 6;

    /**
     * A younger proof needs no look, in milliseconds: about the time of one answer, before which a
     * new proof could not have come.
     */
    private static final long LOOK_AFTER_MILLIS = 300;

    private final String mZone;
    private final SlotTable mSlots;
    private final TrustTable mTrust;
    private final HangRisk mRisk;
    private final RandomGenerator mRandom;

    /**
     * Joins what a choice needs.
     *
     * @param zone this VM's availability zone
     */
    Placement(
            String zone, SlotTable slots, TrustTable trust, HangRisk risk, RandomGenerator random) {
        mZone = zone;
        mSlots = slots;
        mTrust = trust;
        mRisk = risk;
        mRandom = random;
    }

    /**
     * Chooses a target for a first try.
     *
     * @param free targets with a free slot for this kind
     * @param all all targets of the service
     * @return the target; empty if waiting for another one is better
     */
    Optional<Endpoint> choose(
            RequestKind kind, List<WeightedTarget> free, List<WeightedTarget> all, long nowMillis) {
        List<WeightedTarget> acceptable = nearest(kind, acceptable(free, all, nowMillis));
        if (HedgePolicy.mayHedge(kind)) {
            List<WeightedTarget> stale = stalest(acceptable, nowMillis);
            if (!stale.isEmpty()) {
                return Optional.of(draw(stale).endpoint());
            }
        }
        return safest(acceptable, nowMillis);
    }

    /** Chooses a target for a further try: a request that was lost once goes where it is safest. */
    Optional<Endpoint> chooseAgain(
            RequestKind kind, List<WeightedTarget> free, List<WeightedTarget> all, long nowMillis) {
        return safest(nearest(kind, acceptable(free, all, nowMillis)), nowMillis);
    }

    /**
     * Keeps large answers within the availability zone while a target there has a slot: of three
     * zones two thirds would cross, and the links between zones are the dearest.
     */
    private List<WeightedTarget> nearest(RequestKind kind, List<WeightedTarget> targets) {
        if (!kind.bulky()) {
            return targets;
        }
        List<WeightedTarget> near =
                targets.stream().filter(target -> target.zone().equals(mZone)).toList();
        return near.isEmpty() ? targets : near;
    }

    /** Returns the chance that a target loses what it is sent. */
    double chance(Endpoint target, long nowMillis) {
        if (!mTrust.isProven(target, nowMillis)) {
            return CHANCE_AFTER_FAILURE;
        }
        return mRisk.chance(target, mTrust.silence(target, nowMillis), nowMillis);
    }

    /**
     * Returns the targets that may get the request, without those that were full a moment ago while
     * there are others. When all of them refuse a part of their work, whatever their load, waiting
     * for one that does not would end in refusing everything.
     */
    private List<WeightedTarget> acceptable(
            List<WeightedTarget> free, List<WeightedTarget> all, long nowMillis) {
        long sound = all.stream().filter(target -> isAcceptable(target, nowMillis)).count();
        if (sound < LEAST_SHARE * all.size()) {
            return free;
        }
        List<WeightedTarget> acceptable =
                free.stream().filter(target -> isAcceptable(target, nowMillis)).toList();
        List<WeightedTarget> rested =
                acceptable.stream()
                        .filter(target -> !mTrust.isResting(target.endpoint(), nowMillis))
                        .toList();
        return rested.isEmpty() ? acceptable : rested;
    }

    private boolean isAcceptable(WeightedTarget target, long nowMillis) {
        return chance(target.endpoint(), nowMillis) <= MOST_CHANCE;
    }

    /** Returns the targets with the oldest proof among those that nobody is looking at. */
    private List<WeightedTarget> stalest(List<WeightedTarget> targets, long nowMillis) {
        List<WeightedTarget> stalest = new ArrayList<>();
        long oldest = nowMillis - LOOK_AFTER_MILLIS;
        for (WeightedTarget target : targets) {
            Endpoint endpoint = target.endpoint();
            if (mSlots.own(endpoint) > 0 || mSlots.others(endpoint, nowMillis) > 0) {
                continue;
            }
            long proven = mRisk.provenMillis(endpoint).orElse(Long.MIN_VALUE);
            if (proven < oldest) {
                oldest = proven;
                stalest.clear();
            }
            if (proven == oldest) {
                stalest.add(target);
            }
        }
        return stalest;
    }

    private Optional<Endpoint> safest(List<WeightedTarget> targets, long nowMillis) {
        if (targets.isEmpty()) {
            return Optional.empty();
        }
        WeightedTarget best = draw(targets);
        double least = cost(best, nowMillis);
        for (int number = 1; number < DRAWS; number++) {
            WeightedTarget next = draw(targets);
            double cost = cost(next, nowMillis);
            if (cost < least) {
                best = next;
                least = cost;
            }
        }
        return Optional.of(best.endpoint());
    }

    private double cost(WeightedTarget target, long nowMillis) {
        Endpoint endpoint = target.endpoint();
        double inFlight = mSlots.own(endpoint) + mSlots.others(endpoint, nowMillis);
        double load = inFlight / mSlots.slotsPerTarget() / target.weight();
        return chance(endpoint, nowMillis) + FULL_LOAD_COST * load;
    }

    private WeightedTarget draw(List<WeightedTarget> targets) {
        double sum = targets.stream().mapToDouble(WeightedTarget::weight).sum();
        double rest = mRandom.nextDouble() * sum;
        for (WeightedTarget target : targets) {
            rest -= target.weight();
            if (rest < 0) {
                return target;
            }
        }
        return targets.get(targets.size() - 1);
    }
}
