package org.dahliapass.decisions.traffic;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;

/**
 * Picks the target with the least load for its weight, among those with a free slot.
 *
 * <p>Not safe for use by several threads: the caller guards it by the same lock as its slot table.
 * A pick costs O(targets).
 */
public final class Balancer {
    private final SlotTable mSlots;
    private final int mBulkySlotsPerTarget;
    private final RandomGenerator mRandom;
    private List<WeightedTarget> mTargets = List.of();

    /**
     * Starts without targets.
     *
     * @param slots the slots of the service
     * @param bulkyShare the share of a target's slots that bulky requests may take, above 0 to 1; 1
     *     where the service has bulky kinds only
     * @param random breaks ties
     */
    public Balancer(SlotTable slots, double bulkyShare, RandomGenerator random) {
        mSlots = slots;
        mBulkySlotsPerTarget = Math.max(1, (int) (slots.slotsPerTarget() * bulkyShare));
        mRandom = random;
    }

    /** Takes the newest view of the targets. */
    public void onTargets(List<WeightedTarget> targets) {
        mTargets = List.copyOf(targets);
        mSlots.retainTargets(mTargets);
    }

    /**
     * Picks a target for a request; takes no slot.
     *
     * @param kind the request's kind
     * @param excluded targets that must not be picked, such as those tried before
     * @param nowMillis the time, in milliseconds
     * @return the target; empty if none has a free slot for this kind
     */
    public Optional<Endpoint> pick(RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        if (kind.bulky() && mSlots.ownBulkyTotal() >= bulkyLimit()) {
            return Optional.empty();
        }
        Endpoint best = null;
        double leastLoad = Double.POSITIVE_INFINITY;
        int ties = 0;
        for (WeightedTarget target : mTargets) {
            if (!isUsable(target, kind, excluded) || !hasSlot(target, kind, nowMillis)) {
                continue;
            }
            double load = relativeLoad(target, nowMillis);
            if (load > leastLoad) {
                continue;
            }
            ties = load < leastLoad ? 1 : ties + 1;
            leastLoad = load;
            if (mRandom.nextInt(ties) == 0) {
                best = target.endpoint();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether any target may take this kind, be its slots free or not. */
    public boolean hasTargetFor(RequestKind kind, Set<Endpoint> excluded) {
        return mTargets.stream().anyMatch(target -> isUsable(target, kind, excluded));
    }

    private boolean isUsable(WeightedTarget target, RequestKind kind, Set<Endpoint> excluded) {
        if (!(target.weight() > 0) || excluded.contains(target.endpoint())) {
            return false;
        }
        return target.mayCarryGuarded() || kind.idempotency() != Idempotency.GUARDED;
    }

    private boolean hasSlot(WeightedTarget target, RequestKind kind, long nowMillis) {
        if (kind.bulky() && mSlots.ownBulky(target.endpoint()) >= mBulkySlotsPerTarget) {
            return false;
        }
        return mSlots.free(target.endpoint(), nowMillis) > 0;
    }

    private double relativeLoad(WeightedTarget target, long nowMillis) {
        Endpoint endpoint = target.endpoint();
        return (mSlots.own(endpoint) + mSlots.others(endpoint, nowMillis) + 1) / target.weight();
    }

    /**
     * Returns how many bulky requests this VM may have in flight.
     *
     * <p>Guards against bulky answers that fill every slot for minutes while short requests wait.
     * The peers report totals only, so each VM keeps to its part of the bulky slots of all targets.
     */
    private int bulkyLimit() {
        int bulkySlots = mBulkySlotsPerTarget * mTargets.size();
        return Math.max(1, bulkySlots / mSlots.cellSize());
    }
}
