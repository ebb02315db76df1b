package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.acceptance.AcceptanceModel;
import org.dahliapass.decisions.acceptance.FreeCapacity;
import org.dahliapass.decisions.availability.AvailabilityRecord;
import org.dahliapass.decisions.availability.TargetAvailability;
import org.dahliapass.decisions.limits.LimitMargin;
import org.dahliapass.decisions.limits.TargetLimitSharing;
import org.dahliapass.decisions.limits.TargetLimits;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;

/**
 * Finds the targets with a free slot for a request; {@link TargetSelector} selects one of them.
 *
 * <p>A VM uses its own share of the slots first and borrows unused slots of other VMs only while
 * utilization is low. Since reports are delayed, VMs that all chose the least loaded target or the
 * last free slot would collide there.
 *
 * <p>Not thread-safe; guarded by the service's lock. A pick is O(VMs of the cell) for each compared
 * target.
 */
public final class LoadBalancer {
    /** Slots of other VMs are borrowed only below this utilization of all usable slots. */
    private static final double MAX_BORROW_UTILIZATION = 0.7;

    private static final double BULKY_SHARE = 0.5;

    /**
     * Requests that may wait at a target beyond its slots if its slots aren't divided between VMs.
     * Without any, a freed slot stays idle until the other VMs have been told of it, for about a
     * third of a response time.
     */
    private static final int MAX_WAITING_AT_TARGET = 1;

    /**
     * Bounds the CPU cost of a request at services with many targets. The best of so many drawn at
     * random is on average among the best fiftieth of all.
     */
    private static final int MAX_COMPARED = 48;

    /** A later attempt waits for a more reliable target than one above this loss probability. */
    private static final double MIN_AVOIDED_LOSS_PROBABILITY = 0.25;

    /** A target is more reliable if its loss probability is at most this share of another's. */
    private static final double MAX_BETTER_LOSS_SHARE = 0.5;

    private final SlotTable mSlots;
    private final PassiveFailureDetector mFailureDetector;
    private final TrafficPolicy mPolicy;
    private final double mBulkyShare;
    private final TargetSelector mSelector;
    private final TargetLimits mLimits;
    private final TargetAvailability mAvailability;
    private final AcceptanceModel mAcceptance;
    private final FreeCapacity<?> mFreeCapacity;
    private final RandomGenerator mRandom;
    private List<WeightedTarget> mTargets = List.of();
    private double mMaxWeight;

    /**
     * Creates a balancer without targets.
     *
     * @param slots the slots of the service
     * @param bulkyShare the share of a target's slots that bulky requests may use, above 0 to 1; 1
     *     for a service with bulky kinds only
     * @param random selects among the targets
     */
    public LoadBalancer(SlotTable slots, double bulkyShare, RandomGenerator random) {
        this(
                "",
                0,
                slots,
                bulkyShare,
                random,
                new PassiveFailureDetector(new ServiceTimeEstimator(), slots),
                new TargetLimits(TargetLimitSharing.FEW_VMS, random),
                new TargetAvailability(random));
    }

    /**
     * Creates a balancer without targets.
     *
     * @param zone this VM's availability zone
     * @param floorShare the share of the healthy targets that must stay in use; 0 for none
     * @param failureDetector estimates the state of the targets
     * @param limits the request limits of the targets
     * @param availability what the targets say of their availability
     */
    public LoadBalancer(
            String zone,
            double floorShare,
            SlotTable slots,
            double bulkyShare,
            RandomGenerator random,
            PassiveFailureDetector failureDetector,
            TargetLimits limits,
            TargetAvailability availability) {
        this(
                zone,
                floorShare,
                slots,
                bulkyShare,
                random,
                failureDetector,
                limits,
                availability,
                TrafficPolicy.BASIC,
                new AcceptanceModel(random));
    }

    /**
     * Creates a balancer without targets.
     *
     * @param policy which mechanisms the selection uses
     * @param acceptance the probability that targets accept a request
     */
    public LoadBalancer(
            String zone,
            double floorShare,
            SlotTable slots,
            double bulkyShare,
            RandomGenerator random,
            PassiveFailureDetector failureDetector,
            TargetLimits limits,
            TargetAvailability availability,
            TrafficPolicy policy,
            AcceptanceModel acceptance) {
        this(
                zone,
                floorShare,
                slots,
                bulkyShare,
                random,
                failureDetector,
                limits,
                availability,
                policy,
                acceptance,
                new FreeCapacity<>());
    }

    /**
     * Creates a balancer without targets.
     *
     * @param freeCapacity which of the counted requests don't occupy a slot
     */
    public LoadBalancer(
            String zone,
            double floorShare,
            SlotTable slots,
            double bulkyShare,
            RandomGenerator random,
            PassiveFailureDetector failureDetector,
            TargetLimits limits,
            TargetAvailability availability,
            TrafficPolicy policy,
            AcceptanceModel acceptance,
            FreeCapacity<?> freeCapacity) {
        mFreeCapacity = freeCapacity;
        mSlots = slots;
        mFailureDetector = failureDetector;
        mPolicy = policy;
        mLimits = limits;
        mAvailability = availability;
        mAcceptance = acceptance;
        mBulkyShare = bulkyShare;
        mSelector =
                new TargetSelector(
                        zone, policy, acceptance, floorShare, slots, failureDetector, random);
        mRandom = random;
    }

    /** Returns the share of a target's slots that bulky requests may use in a service. */
    public static double bulkyShare(List<RequestKind> kinds) {
        return kinds.stream().allMatch(RequestKind::bulky) ? 1 : BULKY_SHARE;
    }

    /** Replaces the view of the targets. */
    public void onTargets(List<WeightedTarget> targets) {
        mTargets = List.copyOf(targets);
        mMaxWeight = targets.stream().mapToDouble(WeightedTarget::weight).max().orElse(0);
        mSlots.retainTargets(mTargets);
    }

    /**
     * Picks a target for a request's first attempt without acquiring a slot.
     *
     * @param kind the request's kind
     * @param excluded targets that must not be picked, such as those tried before
     * @param nowMillis the current time, in milliseconds
     * @return the target; empty if none has a free slot for this kind
     */
    public Optional<Endpoint> pick(RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        Optional<Endpoint> picked = pickWithin(LimitMargin.NAMED, kind, excluded, nowMillis);
        return picked.isPresent() || !mLimits.hasLimitedTargets()
                ? picked
                : pickWithin(LimitMargin.TOLERATED, kind, excluded, nowMillis);
    }

    /**
     * Picks a target for a request that waits. A later attempt isn't sent to a target that is
     * likely to fail while it may wait for a better one.
     */
    Optional<Endpoint> pick(QueueEntry<?> entry, long nowMillis) {
        Optional<Endpoint> picked = pick(entry.kind(), entry.excluded(), nowMillis);
        return mayAwaitBetter(entry, nowMillis)
                ? picked.filter(target -> !isBetterInUse(target, entry, nowMillis))
                : picked;
    }

    /** Returns whether a request may wait for a better target than those with a free slot. */
    boolean mayAwaitBetter(QueueEntry<?> entry, long nowMillis) {
        return mPolicy.learnsResponseTimes()
                && !entry.excluded().isEmpty()
                && nowMillis < entry.arrivedMillis() + entry.kind().patience().toMillis();
    }

    private boolean isBetterInUse(Endpoint target, QueueEntry<?> entry, long nowMillis) {
        return isBetterInUse(target, entry.kind(), entry.excluded(), nowMillis);
    }

    /**
     * Returns whether a target is likely to fail and there is a more reliable one, which has no
     * free slot if the target was picked.
     */
    boolean isBetterInUse(
            Endpoint target, RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        double lossProbability = mFailureDetector.lossProbability(target, nowMillis);
        if (lossProbability < MIN_AVOIDED_LOSS_PROBABILITY) {
            return false;
        }
        return available(mTargets, nowMillis).stream()
                .filter(other -> isUsable(other, kind, excluded, nowMillis))
                .anyMatch(
                        other ->
                                mFailureDetector.lossProbability(other.endpoint(), nowMillis)
                                        <= MAX_BETTER_LOSS_SHARE * lossProbability);
    }

    /**
     * Picks a target as {@link #pick} does.
     *
     * @param margin how far the limits of targets may be used
     */
    Optional<Endpoint> pickWithin(
            LimitMargin margin, RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        return pickWithin(margin, kind, kind, excluded, nowMillis);
    }

    private Optional<Endpoint> pickWithin(
            LimitMargin margin,
            RequestKind kind,
            RequestKind selectedAs,
            Set<Endpoint> excluded,
            long nowMillis) {
        List<WeightedTarget> sampled = sampled();
        Optional<Endpoint> picked =
                pickAmong(sampled, kind, selectedAs, excluded, margin, nowMillis);
        return picked.isPresent() || sampled.size() == mTargets.size()
                ? picked
                : pickAmong(mTargets, kind, selectedAs, excluded, margin, nowMillis);
    }

    /**
     * Picks a target as {@link #pick} does, for the last attempt of a request.
     *
     * <p>A loss of this attempt isn't made good by another one, so the target is selected as
     * carefully as for a request that runs at most once.
     *
     * @param margin how far the limits of targets may be used
     */
    Optional<Endpoint> pickForLastAttempt(
            LimitMargin margin, RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        return pickWithin(margin, kind, kind.asAtMostOnce(), excluded, nowMillis);
    }

    private Optional<Endpoint> pickAmong(
            List<WeightedTarget> targets,
            RequestKind kind,
            RequestKind selectedAs,
            Set<Endpoint> excluded,
            LimitMargin margin,
            long nowMillis) {
        List<WeightedTarget> available = available(targets, nowMillis);
        List<WeightedTarget> free = withFreeSlot(available, kind, excluded, margin, nowMillis);
        if (free.isEmpty()) {
            return Optional.empty();
        }
        AttemptOrder attempt = excluded.isEmpty() ? AttemptOrder.FIRST : AttemptOrder.LATER;
        return mSelector.select(selectedAs, attempt, free, available, nowMillis);
    }

    /** Picks a target as {@link #pick} does, for a retry. */
    public Optional<Endpoint> pickForRetry(
            RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        Optional<Endpoint> picked = pick(kind, excluded, nowMillis);
        return picked.isPresent() ? picked : pickUnreliable(kind, kind, excluded, nowMillis);
    }

    /** Picks a target as {@link #pickForRetry} does, for the last attempt of a request. */
    Optional<Endpoint> pickForLastRetry(RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        Optional<Endpoint> picked =
                pickForLastAttempt(LimitMargin.NAMED, kind, excluded, nowMillis);
        if (picked.isEmpty() && mLimits.hasLimitedTargets()) {
            picked = pickForLastAttempt(LimitMargin.TOLERATED, kind, excluded, nowMillis);
        }
        return picked.isPresent()
                ? picked
                : pickUnreliable(kind, kind.asAtMostOnce(), excluded, nowMillis);
    }

    private Optional<Endpoint> pickUnreliable(
            RequestKind kind, RequestKind selectedAs, Set<Endpoint> excluded, long nowMillis) {
        List<WeightedTarget> available = available(mTargets, nowMillis);
        List<WeightedTarget> free =
                withFreeSlot(available, kind, excluded, LimitMargin.TOLERATED, nowMillis);
        return mSelector.selectForRetry(selectedAs, free, available, nowMillis);
    }

    /** Returns the targets that may get a request now by their own statements. */
    private List<WeightedTarget> available(List<WeightedTarget> targets, long nowMillis) {
        if (mAvailability.isEmpty()) {
            return targets;
        }
        return targets.stream()
                .filter(
                        target ->
                                mAvailability.allows(
                                        target.instance().incarnation(),
                                        mSlots.ownInFlight(target.endpoint()),
                                        nowMillis))
                .toList();
    }

    /**
     * Returns the targets to compare for a request: all, or a random sample of many.
     *
     * <p>The sample is every n-th target from a random index. The step is coprime to the number of
     * targets, so no target is sampled twice.
     */
    private List<WeightedTarget> sampled() {
        int count = mTargets.size();
        if (count <= MAX_COMPARED) {
            return mTargets;
        }
        int step = 1 + mRandom.nextInt(count - 1);
        while (greatestCommonDivisor(step, count) != 1) {
            step = 1 + mRandom.nextInt(count - 1);
        }
        int index = mRandom.nextInt(count);
        List<WeightedTarget> sampled = new ArrayList<>(MAX_COMPARED);
        for (int number = 0; number < MAX_COMPARED; number++) {
            sampled.add(mTargets.get(index));
            index = (index + step) % count;
        }
        return sampled;
    }

    private static int greatestCommonDivisor(int first, int second) {
        return second == 0 ? first : greatestCommonDivisor(second, first % second);
    }

    private List<WeightedTarget> withFreeSlot(
            List<WeightedTarget> targets,
            RequestKind kind,
            Set<Endpoint> excluded,
            LimitMargin margin,
            long nowMillis) {
        if (kind.bulky() && mSlots.ownBulkyInFlightTotal() >= bulkyLimit()) {
            return List.of();
        }
        List<WeightedTarget> ownTargets =
                withOwnFreeSlot(targets, kind, excluded, margin, nowMillis);
        if (mSlots.cellSize() == 1) {
            return withUnusedSlot(ownTargets, nowMillis);
        }
        if (!ownTargets.isEmpty()) {
            return ownTargets;
        }
        return mayBorrow(nowMillis)
                ? borrowable(targets, kind, excluded, margin, nowMillis)
                : List.of();
    }

    /**
     * Returns the targets with an unused slot; if there are none, those that have just stated one,
     * and else those with room for a waiting request.
     */
    private List<WeightedTarget> withUnusedSlot(List<WeightedTarget> ownTargets, long nowMillis) {
        List<WeightedTarget> unused = belowLimit(ownTargets, 0, nowMillis);
        if (unused.isEmpty() && mPolicy.learnsFreeCapacity()) {
            unused =
                    ownTargets.stream()
                            .filter(
                                    target ->
                                            mFreeCapacity.statesFreeSlot(
                                                    target.endpoint(), nowMillis))
                            .toList();
        }
        return unused.isEmpty() ? belowLimit(ownTargets, MAX_WAITING_AT_TARGET, nowMillis) : unused;
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

    private List<WeightedTarget> withOwnFreeSlot(
            List<WeightedTarget> targets,
            RequestKind kind,
            Set<Endpoint> excluded,
            LimitMargin margin,
            long nowMillis) {
        List<WeightedTarget> ownTargets = new ArrayList<>();
        for (WeightedTarget target : targets) {
            if (isUsable(target, kind, excluded, nowMillis)
                    && ownFreeSlots(target, nowMillis) > 0
                    && hasBulkyRoom(target, kind)
                    && !mAcceptance.isFull(target.endpoint(), nowMillis)
                    && mLimits.allows(target.endpoint(), margin, nowMillis)) {
                ownTargets.add(target);
            }
        }
        return ownTargets;
    }

    /**
     * Returns whether any target accepts this kind, regardless of free slots, limits and rests; a
     * target that is leaving or was replaced accepts none.
     */
    public boolean hasTargetFor(RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        return mTargets.stream().anyMatch(target -> isUsable(target, kind, excluded, nowMillis));
    }

    /**
     * Returns how long all targets that accept this kind want a rest, in milliseconds; 0 if one of
     * them doesn't or if there is none.
     */
    public long restMillis(RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        if (mAvailability.isEmpty()) {
            return 0;
        }
        return mTargets.stream()
                .filter(target -> isUsable(target, kind, excluded, nowMillis))
                .mapToLong(target -> statements(target).restMillis(nowMillis))
                .min()
                .orElse(0);
    }

    /** Returns whether any target has said something of its availability or was replaced. */
    boolean hasStatements() {
        return !mAvailability.isEmpty();
    }

    private AvailabilityRecord statements(WeightedTarget target) {
        return mAvailability.of(target.instance().incarnation());
    }

    /** Returns whether this VM may send a request to any of the targets that accept this kind. */
    boolean isWithinLimits(RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        return mTargets.stream()
                .filter(target -> isUsable(target, kind, excluded, nowMillis))
                .anyMatch(
                        target ->
                                mLimits.allows(
                                        target.endpoint(), LimitMargin.TOLERATED, nowMillis));
    }

    /** Acquires a slot at a picked target for one attempt. */
    void acquire(Endpoint target, boolean bulky, long nowMillis) {
        mSlots.acquire(target, bulky);
        mLimits.onSent(target, nowMillis);
        mAcceptance.onSent(target, nowMillis);
    }

    private List<WeightedTarget> borrowable(
            List<WeightedTarget> targets,
            RequestKind kind,
            Set<Endpoint> excluded,
            LimitMargin margin,
            long nowMillis) {
        List<WeightedTarget> unused = new ArrayList<>();
        for (WeightedTarget target : targets) {
            if (isUsable(target, kind, excluded, nowMillis)
                    && hasBulkyRoom(target, kind)
                    && !mAcceptance.isFull(target.endpoint(), nowMillis)
                    && unusedSlots(target, nowMillis) > 0
                    && mLimits.allows(target.endpoint(), margin, nowMillis)) {
                unused.add(target);
            }
        }
        return unused;
    }

    /**
     * Returns whether slots of other VMs may be borrowed. A VM without any slot of its own always
     * may, since it could not serve requests otherwise.
     */
    private boolean mayBorrow(long nowMillis) {
        int usable = 0;
        int ownSlots = 0;
        double inUse = 0;
        for (WeightedTarget target : mTargets) {
            int slots = usableSlots(target);
            usable += slots;
            ownSlots += mSlots.ownShare(target.endpoint(), slots);
            inUse += inFlight(target, nowMillis);
        }
        return ownSlots == 0 || inUse < MAX_BORROW_UTILIZATION * usable;
    }

    private boolean isUsable(
            WeightedTarget target, RequestKind kind, Set<Endpoint> excluded, long nowMillis) {
        if (!(target.weight() > 0) || excluded.contains(target.endpoint())) {
            return false;
        }
        String incarnation = target.instance().incarnation();
        if (statements(target).isLeaving()
                || mAvailability.replaced().isExcluded(incarnation, nowMillis)) {
            return false;
        }
        return target.acceptsAtMostOnce() || kind.idempotency() != Idempotency.AT_MOST_ONCE;
    }

    private int bulkySlotsPerTarget() {
        return Math.max(1, (int) (mSlots.slotsPerTarget() * mBulkyShare));
    }

    private boolean hasBulkyRoom(WeightedTarget target, RequestKind kind) {
        return !kind.bulky() || mSlots.ownBulkyInFlight(target.endpoint()) < bulkySlotsPerTarget();
    }

    /**
     * Returns the slots that a target's weight allows: all for the maximum weight, otherwise fewer.
     */
    private int usableSlots(WeightedTarget target) {
        if (!(target.weight() > 0)) {
            return 0;
        }
        return (int) Math.ceil(mSlots.slotsPerTarget() * target.weight() / mMaxWeight);
    }

    private double inFlight(WeightedTarget target, long nowMillis) {
        Endpoint endpoint = target.endpoint();
        return mSlots.ownInFlight(endpoint)
                + mSlots.peersInFlight(endpoint, nowMillis)
                - recoveredSlots(endpoint, nowMillis);
    }

    private int ownFreeSlots(WeightedTarget target, long nowMillis) {
        Endpoint endpoint = target.endpoint();
        int recovered = recoveredSlots(endpoint, nowMillis);
        int free = mSlots.ownFreeSlots(endpoint, usableSlots(target));
        // Without recovered slots an own share that is exceeded counts as used up.
        return recovered == 0
                ? free
                : mSlots.ownShare(endpoint, usableSlots(target))
                        - mSlots.ownInFlight(endpoint)
                        + recovered;
    }

    private int unusedSlots(WeightedTarget target, long nowMillis) {
        Endpoint endpoint = target.endpoint();
        int recovered = recoveredSlots(endpoint, nowMillis);
        return recovered == 0
                ? mSlots.unusedSlots(endpoint, usableSlots(target), nowMillis)
                : (int) Math.round(usableSlots(target) - inFlight(target, nowMillis));
    }

    /**
     * Returns how many of this VM's attempts at a target count as slots in use no longer, because
     * they are presumed lost.
     */
    public int recoveredSlots(Endpoint target, long nowMillis) {
        if (!mPolicy.learnsFreeCapacity()) {
            return 0;
        }
        double counted = mSlots.ownInFlight(target) + mSlots.peersInFlight(target, nowMillis);
        return mFreeCapacity.recovered(target, counted, nowMillis);
    }

    /** Returns {@link #recoveredSlots} for all targets together. */
    public int recoveredSlots(long nowMillis) {
        return mTargets.stream()
                .mapToInt(target -> recoveredSlots(target.endpoint(), nowMillis))
                .sum();
    }

    /**
     * Returns how many bulky requests this VM may have in flight.
     *
     * <p>Prevents bulky responses from occupying all slots while short requests wait. Peers report
     * totals only, so each VM limits itself to its share of the bulky slots of all targets.
     */
    private int bulkyLimit() {
        if (bulkySlotsPerTarget() >= mSlots.slotsPerTarget()) {
            return Integer.MAX_VALUE;
        }
        int bulkySlots = bulkySlotsPerTarget() * mTargets.size();
        return Math.max(1, bulkySlots / mSlots.cellSize());
    }
}
