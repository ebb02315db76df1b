package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;

/**
 * Finds the targets with a free slot for a request, of which {@link TargetSelector} chooses one.
 *
 * <p>The VM's own share of the slots goes first; others' unused slots are borrowed only while the
 * cell has many. Reports are always somewhat old, so VMs that all took the one least loaded target,
 * or borrowed the last free slots, would meet there and be refused.
 *
 * <p>Not safe for use by several threads: the caller guards it by the same lock as its slot table.
 * A pick costs O(VMs of the cell) for each target that is compared: some of many, and all if none
 * of those has a slot.
 */
public final class LoadBalancer {
    /** Others' slots are borrowed while less than this share of all usable slots is in use. */
    private static final double BORROW_BELOW = 0.7;

    private static final double BULKY_SHARE_AMONG_SHORT = 0.5;

    /**
     * Requests that may wait at a target beyond its slots where VMs share no slots but tell each
     * other what they use: with none a slot would stand idle until the news that it is free has
     * gone round, about a third of the time of an answer.
     */
    private static final int WAITING_AT_TARGET = 1;

    /**
     * The most targets that are compared for one request, so that a VM's processor time doesn't
     * grow with requests times targets. The best of so many drawn at random is on average among the
     * best fiftieth of all.
     */
    private static final int MOST_COMPARED = 48;

    private final SlotTable mSlots;
    private final int mBulkySlotsPerTarget;
    private final TargetSelector mPlacement;
    private final RandomGenerator mRandom;
    private List<WeightedTarget> mTargets = List.of();
    private double mGreatestWeight;

    /**
     * Starts without targets.
     *
     * @param slots the slots of the service
     * @param bulkyShare the share of a target's slots that bulky requests may take, above 0 to 1; 1
     *     where the service has bulky kinds only
     * @param random draws the targets
     */
    public LoadBalancer(SlotTable slots, double bulkyShare, RandomGenerator random) {
        this(
                "",
                0,
                slots,
                bulkyShare,
                random,
                new PassiveFailureDetector(new ServiceTimeEstimator(), slots));
    }

    /**
     * Starts without targets.
     *
     * @param zone this VM's availability zone
     * @param floorShare the share of the sound targets that must stay in use; 0 for none
     * @param evidence what the newest work shows of the targets
     */
    public LoadBalancer(
            String zone,
            double floorShare,
            SlotTable slots,
            double bulkyShare,
            RandomGenerator random,
            PassiveFailureDetector evidence) {
        mSlots = slots;
        mBulkySlotsPerTarget = Math.max(1, (int) (slots.slotsPerTarget() * bulkyShare));
        mPlacement = new TargetSelector(zone, floorShare, slots, evidence, random);
        mRandom = random;
    }

    /** Returns the share of a target's slots that bulky requests may take in a service. */
    public static double bulkyShare(List<RequestKind> kinds) {
        return kinds.stream().allMatch(RequestKind::bulky) ? 1 : BULKY_SHARE_AMONG_SHORT;
    }

    /** Takes the newest view of the targets. */
    public void onTargets(List<WeightedTarget> targets) {
        mTargets = List.copyOf(targets);
        mGreatestWeight = targets.stream().mapToDouble(WeightedTarget::weight).max().orElse(0);
        mSlots.retainTargets(mTargets);
    }

    /**
     * Picks a target for a request's first try; takes no slot.
     *
     * @param kind the request's kind
     * @param excluded targets that must not be picked, such as those tried before
     * @param nowMillis the time, in milliseconds
     * @return the target; empty if none has a free slot for this kind
     */
    public Optional<Endpoint> pick(RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        List<WeightedTarget> drawn = drawn();
        Optional<Endpoint> picked = pickAmong(drawn, kind, excluded, nowMillis);
        return picked.isPresent() || drawn.size() == mTargets.size()
                ? picked
                : pickAmong(mTargets, kind, excluded, nowMillis);
    }

    private Optional<Endpoint> pickAmong(
            List<WeightedTarget> targets,
            RequestKind kind,
            Set<Endpoint> excluded,
            long nowMillis) {
        List<WeightedTarget> free = withSlot(targets, kind, excluded, nowMillis);
        return mPlacement.select(kind, free, targets, nowMillis);
    }

    /** Picks a target as {@link #pick}, for a further try after one that failed. */
    public Optional<Endpoint> pickForRetry(
            RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        List<WeightedTarget> drawn = drawn();
        Optional<Endpoint> picked = pickAmong(drawn, kind, excluded, nowMillis);
        if (picked.isPresent()) {
            return picked;
        }
        List<WeightedTarget> free = withSlot(mTargets, kind, excluded, nowMillis);
        return mPlacement.selectForRetry(kind, free, mTargets, nowMillis);
    }

    /**
     * Returns the targets to compare for a request: all, or some drawn at random if there are many.
     *
     * <p>From a random place on, every so many of the list; as the step has no factor in common
     * with the list's length, none is met twice.
     */
    private List<WeightedTarget> drawn() {
        int count = mTargets.size();
        if (count <= MOST_COMPARED) {
            return mTargets;
        }
        int step = 1 + mRandom.nextInt(count - 1);
        while (greatestCommonDivisor(step, count) != 1) {
            step = 1 + mRandom.nextInt(count - 1);
        }
        int place = mRandom.nextInt(count);
        List<WeightedTarget> drawn = new ArrayList<>(MOST_COMPARED);
        for (int number = 0; number < MOST_COMPARED; number++) {
            drawn.add(mTargets.get(place));
            place = (place + step) % count;
        }
        return drawn;
    }

    private static int greatestCommonDivisor(int first, int second) {
        return second == 0 ? first : greatestCommonDivisor(second, first % second);
    }

    private List<WeightedTarget> withSlot(
            List<WeightedTarget> targets,
            RequestKind kind,
            Set<Endpoint> excluded,
            long nowMillis) {
        if (kind.bulky() && mSlots.ownBulkyInFlightTotal() >= bulkyLimit()) {
            return List.of();
        }
        List<WeightedTarget> own = withOwnSlot(targets, kind, excluded);
        if (mSlots.cellSize() == 1) {
            return withUnused(own, nowMillis);
        }
        if (!own.isEmpty()) {
            return own;
        }
        return mayBorrow(nowMillis) ? borrowable(targets, kind, excluded, nowMillis) : List.of();
    }

    /**
     * Returns the targets that have a slot which no other VM uses, or nearly so if there is none.
     */
    private List<WeightedTarget> withUnused(List<WeightedTarget> own, long nowMillis) {
        List<WeightedTarget> unused = belowLimit(own, 0, nowMillis);
        return unused.isEmpty() ? belowLimit(own, WAITING_AT_TARGET, nowMillis) : unused;
    }

    private List<WeightedTarget> belowLimit(
            List<WeightedTarget> targets, int beyondSlots, long nowMillis) {
        return targets.stream()
                .filter(
                        target ->
                                Math.round(inFlight(target, nowMillis))
                                        < usableSlots(target) + beyondSlots)
                .toList();
    }

    private List<WeightedTarget> withOwnSlot(
            List<WeightedTarget> targets, RequestKind kind, Set<Endpoint> excluded) {
        List<WeightedTarget> own = new ArrayList<>();
        for (WeightedTarget target : targets) {
            if (isUsable(target, kind, excluded)
                    && mSlots.ownFreeSlots(target.endpoint(), usableSlots(target)) > 0
                    && hasBulkyRoom(target, kind)) {
                own.add(target);
            }
        }
        return own;
    }

    /** Returns whether any target may take this kind, be its slots free or not. */
    public boolean hasTargetFor(RequestKind kind, Set<Endpoint> excluded) {
        return mTargets.stream().anyMatch(target -> isUsable(target, kind, excluded));
    }

    private List<WeightedTarget> borrowable(
            List<WeightedTarget> targets,
            RequestKind kind,
            Set<Endpoint> excluded,
            long nowMillis) {
        List<WeightedTarget> unused = new ArrayList<>();
        for (WeightedTarget target : targets) {
            if (isUsable(target, kind, excluded)
                    && hasBulkyRoom(target, kind)
                    && mSlots.unusedSlots(target.endpoint(), usableSlots(target), nowMillis) > 0) {
                unused.add(target);
            }
        }
        return unused;
    }

    /** A VM without any slot of its own may always borrow: it would serve nobody else. */
    private boolean mayBorrow(long nowMillis) {
        int usable = 0;
        int ownShare = 0;
        double inUse = 0;
        for (WeightedTarget target : mTargets) {
            int slots = usableSlots(target);
            usable += slots;
            ownShare += mSlots.ownShare(target.endpoint(), slots);
            inUse += inFlight(target, nowMillis);
        }
        return ownShare == 0 || inUse < BORROW_BELOW * usable;
    }

    private boolean isUsable(WeightedTarget target, RequestKind kind, Set<Endpoint> excluded) {
        if (!(target.weight() > 0) || excluded.contains(target.endpoint())) {
            return false;
        }
        return target.acceptsGuarded() || kind.idempotency() != Idempotency.AT_MOST_ONCE;
    }

    private boolean hasBulkyRoom(WeightedTarget target, RequestKind kind) {
        return !kind.bulky() || mSlots.ownBulkyInFlight(target.endpoint()) < mBulkySlotsPerTarget;
    }

    /** Returns the slots that a target's weight allows: all at the greatest weight, else fewer. */
    private int usableSlots(WeightedTarget target) {
        if (!(target.weight() > 0)) {
            return 0;
        }
        return (int) Math.ceil(mSlots.slotsPerTarget() * target.weight() / mGreatestWeight);
    }

    private double inFlight(WeightedTarget target, long nowMillis) {
        Endpoint endpoint = target.endpoint();
        return mSlots.ownInFlight(endpoint) + mSlots.peersInFlight(endpoint, nowMillis);
    }

    /**
     * Returns how many bulky requests this VM may have in flight.
     *
     * <p>Guards against bulky answers that fill every slot for minutes while short requests wait.
     * The peers report totals only, so each VM keeps to its part of the bulky slots of all targets.
     */
    private int bulkyLimit() {
        if (mBulkySlotsPerTarget >= mSlots.slotsPerTarget()) {
            return Integer.MAX_VALUE;
        }
        int bulkySlots = mBulkySlotsPerTarget * mTargets.size();
        return Math.max(1, bulkySlots / mSlots.cellSize());
    }
}
