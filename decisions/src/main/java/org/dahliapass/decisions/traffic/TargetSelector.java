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
 * <p>A request goes where the chance of its loss is least, and among near equals where the load is
 * less. A target that failed is left alone until waiting for better ones costs more than the doubt,
 * or until too few targets are in use ({@link FloorSharePolicy}).
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. A
 * choice costs O(targets x VMs that report).
 */
final class TargetSelector {
    /**
     * A target that is rather in a bout than not gets nothing while enough others are left: waiting
     * a while for another one costs less than a lost request, but a lower limit waits too long in a
     * burst.
     */
    private static final double MOST_CHANCE = 0.6;

    /**
     * Doubtful targets are passed over only while at least this share of all is left. If most look
     * bad, the cause is rather this VM's path or a load that all of them suffer from, and the few
     * others would drown.
     */
    private static final double LEAST_SHARE = 0.34;

    /**
     * What a target's last slot costs, as a chance of loss: some targets slow down when nearly
     * full, and reports of what others use are a tenth of a second old.
     */
    private static final double FULL_LOAD_COST = 0.1;

    /**
     * A target that costs this much more, as a chance of loss, is chosen a third as often. Without
     * it all VMs would meet at the same target before they hear of each other.
     */
    private static final double COST_SCALE = 0.01;

    /**
     * What remains of a chance of loss as the cost for a request that may repeat, at a service that
     * gets requests that must not repeat only otherwise: its loss is made good by a further try,
     * and the best proven targets are left to those.
     */
    private static final double LOSS_COST_OF_REPEATABLE = 0.3;

    /**
     * What news of a target that was not seen for long is worth to requests that must not repeat,
     * as a chance of loss; about what the drift of the chance of a bout makes of a second or two.
     */
    private static final double NEWS_VALUE = 0.15;

    /** The age at which two thirds of a target's last news is worth having anew. */
    private static final double NEWS_AGE_MILLIS = 2_000;

    private final String mZone;
    private final SlotTable mSlots;
    private final PassiveFailureDetector mEvidence;
    private final RandomGenerator mRandom;
    private final FloorSharePolicy mFloor;

    /**
     * Joins what a choice needs.
     *
     * @param zone this VM's availability zone
     * @param floorShare the share of the sound targets that must stay in use; 0 for none
     */
    TargetSelector(
            String zone,
            double floorShare,
            SlotTable slots,
            PassiveFailureDetector evidence,
            RandomGenerator random) {
        mZone = zone;
        mFloor = new FloorSharePolicy(floorShare, evidence);
        mSlots = slots;
        mEvidence = evidence;
        mRandom = random;
    }

    /**
     * Chooses a target.
     *
     * @param free targets with a free slot for this kind
     * @param all all targets of the service
     * @return the target; empty if waiting for another one is better
     */
    Optional<Endpoint> select(
            RequestKind kind, List<WeightedTarget> free, List<WeightedTarget> all, long nowMillis) {
        List<WeightedTarget> best = nearest(kind, acceptable(free, all, nowMillis));
        List<WeightedTarget> targets =
                mFloor.select(best, nearest(kind, free), nearest(kind, all), nowMillis);
        return draw(HedgePolicy.mayHedge(kind), targets, nowMillis);
    }

    /**
     * Chooses a target for a further try, which can't wait: without a target it ends as a failure
     * or a refusal, so a doubtful target is better than none.
     */
    Optional<Endpoint> selectForRetry(
            RequestKind kind, List<WeightedTarget> free, List<WeightedTarget> all, long nowMillis) {
        Optional<Endpoint> chosen = select(kind, free, all, nowMillis);
        return chosen.isPresent() ? chosen : draw(HedgePolicy.mayHedge(kind), free, nowMillis);
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
        List<WeightedTarget> acceptable = new ArrayList<>(free);
        acceptable.removeIf(target -> !isAcceptable(target, nowMillis));
        List<WeightedTarget> rested =
                acceptable.stream()
                        .filter(target -> !mEvidence.isCoolingDown(target.endpoint(), nowMillis))
                        .toList();
        return rested.isEmpty() ? acceptable : rested;
    }

    private boolean isAcceptable(WeightedTarget target, long nowMillis) {
        Endpoint endpoint = target.endpoint();
        return mEvidence.failingProbability(endpoint, nowMillis) <= MOST_CHANCE
                && mEvidence.partitionProbability(endpoint, nowMillis) <= MOST_CHANCE;
    }

    /**
     * Draws a target: of two at the same cost each by its weight, and dearer ones less often.
     *
     * <p>The largest of the logarithms of the odds, each with noise of a Gumbel distribution, is
     * such a draw.
     */
    private Optional<Endpoint> draw(
            boolean mayRepeat, List<WeightedTarget> targets, long nowMillis) {
        WeightedTarget best = null;
        double most = Double.NEGATIVE_INFINITY;
        for (WeightedTarget target : targets) {
            double logOdds =
                    Math.log(target.weight()) - cost(mayRepeat, target, nowMillis) / COST_SCALE;
            double drawn = logOdds - Math.log(-Math.log(1 - mRandom.nextDouble()));
            if (drawn > most) {
                best = target;
                most = drawn;
            }
        }
        return Optional.ofNullable(best).map(WeightedTarget::endpoint);
    }

    private double cost(boolean mayRepeat, WeightedTarget target, long nowMillis) {
        Endpoint endpoint = target.endpoint();
        double inFlight = mSlots.ownInFlight(endpoint) + mSlots.peersInFlight(endpoint, nowMillis);
        double load = inFlight / mSlots.slotsPerTarget() / target.weight();
        double loss = mEvidence.lossProbability(endpoint, nowMillis);
        if (!mayRepeat) {
            return loss + FULL_LOAD_COST * load;
        }
        double locks = mEvidence.nonRepeatableShare();
        double lossCost = 1 - (1 - LOSS_COST_OF_REPEATABLE) * locks;
        long age = nowMillis - mEvidence.lastObservedMillis(endpoint);
        double news = NEWS_VALUE * locks * (1 - Math.exp(-age / NEWS_AGE_MILLIS));
        return lossCost * loss + FULL_LOAD_COST * load - news;
    }
}
