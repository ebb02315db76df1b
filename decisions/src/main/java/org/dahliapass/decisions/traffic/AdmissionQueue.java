package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.admission.CustomerCount;
import org.dahliapass.decisions.admission.CustomerPriorities;
import org.dahliapass.decisions.admission.CustomerUse;
import org.dahliapass.decisions.admission.HeldRequests;
import org.dahliapass.decisions.admission.SlotYielding;
import org.dahliapass.decisions.admission.WaitingElsewhere;
import org.dahliapass.decisions.traffic.TargetSearch.Demand;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * An admission control queue for the requests of one service: dispatches each to a target with a
 * free slot, queues it, or refuses it.
 *
 * <p>Each offered entry ends exactly once: dispatched, refused, expired or cancelled.
 *
 * <p>Not thread-safe; guarded by the service's lock, together with the slot table and the load
 * balancer. A call is O(targets + customers) and O(log n) in the queued entries; an offer that is
 * queued is also O(queued entries of its customer).
 *
 * @param <T> the caller's handle for a request
 */
public final class AdmissionQueue<T> {
    /**
     * The interval at which the waits of queued entries are estimated anew, in milliseconds; a tick
     * of the reports, since an estimate visits all queued entries.
     */
    private static final long ESTIMATE_INTERVAL_MILLIS = 100;

    private final SlotTable mSlots;
    private final LoadBalancer mBalancer;
    private final ServiceTimeEstimator mTimes;
    private final RetryAfterPolicy mRetryAfter;
    private final WaitingRequests<T> mWaiting;
    private final CustomerUse mUse = new CustomerUse();
    private final WaitingElsewhere mElsewhere;
    private final Optional<SlotYielding> mYielding;
    private final CustomerCounts mBulkyByCustomer = new CustomerCounts();
    private QueueLimits mLimits;
    private final List<ExpiredEntry<T>> mDisplaced = new ArrayList<>();
    private long mLastEstimateMillis = Long.MIN_VALUE / 2;

    /** Creates an empty queue that uses none of the optional mechanisms. */
    public AdmissionQueue(
            QueueLimits limits,
            SlotTable slots,
            LoadBalancer balancer,
            ServiceTimeEstimator times,
            RandomGenerator random) {
        this(limits, slots, balancer, times, random, TrafficPolicy.BASIC);
    }

    /**
     * Creates an empty queue.
     *
     * @param limits the capacity of the queue
     * @param slots the slots of the service
     * @param balancer picks the targets
     * @param times estimates how fast slots are released
     * @param random adds jitter to Retry-After times and draws which slots are left to other VMs
     * @param policy the order of the waiting requests
     */
    public AdmissionQueue(
            QueueLimits limits,
            SlotTable slots,
            LoadBalancer balancer,
            ServiceTimeEstimator times,
            RandomGenerator random,
            TrafficPolicy policy) {
        mLimits = limits;
        mSlots = slots;
        mBalancer = balancer;
        mTimes = times;
        mRetryAfter = new RetryAfterPolicy(random);
        HeldRequests held = policy.customerSharing().heldIn(mUse);
        mElsewhere = new WaitingElsewhere(policy.admissionOrder());
        mYielding =
                policy.yieldsToOtherVms()
                        ? Optional.of(
                                new SlotYielding(
                                        mElsewhere, held, policy.customerSharing(), random))
                        : Optional.empty();
        mWaiting = new WaitingRequests<>(policy.admissionOrder(), mUse, held, mYielding);
    }

    /** Replaces the limits; entries that are already queued stay. */
    public void setLimits(QueueLimits limits) {
        mLimits = limits;
    }

    /** Dispatches, queues or refuses a new request. */
    public Admission offer(QueueEntry<T> entry, long nowMillis) {
        Optional<Admission.Refused> unavailability = unavailability(Demand.of(entry), nowMillis);
        if (unavailability.isPresent()) {
            return unavailability.get();
        }
        if (!mBalancer.isWithinLimits(entry.kind(), entry.excluded(), nowMillis)) {
            return refuse(RefusalReason.TARGETS_LIMITED, 0);
        }
        if (nowMillis >= entry.deadlineMillis()) {
            return refuse(RefusalReason.TOO_LATE, 0);
        }
        Optional<Endpoint> target = targetFor(entry, nowMillis);
        if (target.isPresent()
                && !mWaiting.isOvertaking(entry, newSearch(nowMillis), nowMillis)
                && !isYielding(entry, nowMillis)) {
            mWaiting.onDispatchedAtOnce(entry);
            acquireSlot(entry, target.get(), nowMillis);
            return new Admission.Dispatch(target.get());
        }
        return queueOrRefuse(entry, nowMillis);
    }

    /**
     * Releases the slot of a dispatched entry and dispatches the next entries.
     *
     * @param entry the entry
     * @param target the target it was dispatched to
     * @param startedMillis when it was dispatched, in milliseconds
     * @param answered whether a complete response arrived
     * @param nowMillis the current time, in milliseconds
     */
    public DispatchResult<T> onAttemptEnded(
            QueueEntry<T> entry,
            Endpoint target,
            long startedMillis,
            boolean answered,
            long nowMillis) {
        if (entry.kind().bulky()) {
            mBulkyByCustomer.decrement(entry.customer());
        }
        return onExtraAttemptEnded(entry, target, startedMillis, answered, nowMillis);
    }

    /** Records that the retry or hedge policy acquired a slot for a request. */
    public void onExtraAttemptStarted(QueueEntry<T> entry) {
        mUse.onStarted(entry.customer());
    }

    /**
     * Releases the slot of a retry or a hedge, which the retry or hedge policy acquired, and
     * dispatches the next entries.
     */
    public DispatchResult<T> onExtraAttemptEnded(
            QueueEntry<T> entry,
            Endpoint target,
            long startedMillis,
            boolean answered,
            long nowMillis) {
        mUse.onEnded(entry.customer());
        mSlots.release(target, entry.kind().bulky());
        mYielding.ifPresent(SlotYielding::onSlotReleased);
        mTimes.onAttemptEnded(entry.kind(), nowMillis - startedMillis, answered, nowMillis);
        return onSlotFreed(nowMillis);
    }

    /**
     * Dispatches as many entries as there are free slots and removes those that expired. Call it
     * whenever a slot may have become free, also after a new view of the targets or a peer's
     * report, and after an offer that was queued.
     */
    public DispatchResult<T> onSlotFreed(long nowMillis) {
        mUse.onTick(nowMillis);
        List<ExpiredEntry<T>> expired = expire(nowMillis);
        expired.addAll(refuseUnavailable(nowMillis));
        expired.addAll(refuseLate(nowMillis));
        List<DispatchedEntry<T>> dispatched = new ArrayList<>();
        Optional<DispatchedEntry<T>> next = dispatchNext(nowMillis);
        while (next.isPresent()) {
            dispatched.add(next.get());
            next = dispatchNext(nowMillis);
        }
        return new DispatchResult<>(dispatched, expired);
    }

    /** Removes and returns the entries whose patience or deadline has passed. */
    public List<ExpiredEntry<T>> expire(long nowMillis) {
        List<ExpiredEntry<T>> expired = new ArrayList<>();
        long drainMillis = drainMillis(nowMillis);
        Optional<QueueEntry<T>> first = mWaiting.firstToExpire();
        while (first.isPresent() && first.get().latestStartMillis() <= nowMillis) {
            mWaiting.remove(first.get());
            expired.add(
                    new ExpiredEntry<>(
                            first.get(), refuse(RefusalReason.WAIT_TIMED_OUT, drainMillis)));
            first = mWaiting.firstToExpire();
        }
        return expired;
    }

    /**
     * Removes and returns the entries that no target will take, by the targets' own statements:
     * waiting doesn't help them.
     */
    private List<ExpiredEntry<T>> refuseUnavailable(long nowMillis) {
        if (!mBalancer.hasStatements()) {
            return List.of();
        }
        Map<Demand, Optional<Admission.Refused>> refusals = new HashMap<>();
        List<ExpiredEntry<T>> refused = new ArrayList<>();
        for (QueueEntry<T> entry : mWaiting.all()) {
            Demand demand = Demand.of(entry);
            refusals.computeIfAbsent(demand, unused -> unavailability(demand, nowMillis))
                    .filter(refusal -> cancel(entry))
                    .ifPresent(refusal -> refused.add(new ExpiredEntry<>(entry, refusal)));
        }
        return refused;
    }

    /**
     * Removes and returns the entries that won't start in time by the present estimate, so that
     * their callers aren't held until their time is over.
     */
    private List<ExpiredEntry<T>> refuseLate(long nowMillis) {
        boolean isDue = nowMillis - mLastEstimateMillis >= ESTIMATE_INTERVAL_MILLIS;
        if (!isDue || !mWaiting.isByObjective()) {
            return List.of();
        }
        mLastEstimateMillis = nowMillis;
        List<ExpiredEntry<T>> refused = new ArrayList<>();
        for (QueueEntry<T> entry : mWaiting.all()) {
            long waitMillis = waitMillis(entry, nowMillis);
            long remainingMillis = entry.latestStartMillis() - nowMillis;
            if (waitMillis > remainingMillis && mWaiting.remove(entry)) {
                refused.add(
                        new ExpiredEntry<>(
                                entry,
                                refuse(RefusalReason.TOO_LATE, waitMillis - remainingMillis)));
            }
        }
        return refused;
    }

    /** Returns the refusal of a request that no target will take now; empty if one may take it. */
    private Optional<Admission.Refused> unavailability(Demand demand, long nowMillis) {
        if (!mBalancer.hasTargetFor(demand.kind(), demand.excluded(), nowMillis)) {
            return Optional.of(refuse(RefusalReason.NO_TARGET, 0));
        }
        long restMillis = mBalancer.restMillis(demand.kind(), demand.excluded(), nowMillis);
        return restMillis > 0
                ? Optional.of(
                        new Admission.Refused(
                                RefusalReason.TARGETS_RESTING,
                                mRetryAfter.afterRestMillis(restMillis)))
                : Optional.empty();
    }

    /**
     * Returns when a request may be offered again because all targets for it rest, in milliseconds
     * from now; 0 if they don't.
     */
    public long retryAfterRestMillis(RequestKind kind, long nowMillis) {
        return mRetryAfter.afterRestMillis(mBalancer.restMillis(kind, Set.of(), nowMillis));
    }

    /**
     * Returns when {@code expire} must be called next, in milliseconds; empty if no entry is
     * queued.
     */
    public OptionalLong nextExpiryMillis() {
        return mWaiting.firstToExpire().stream()
                .mapToLong(QueueEntry::latestStartMillis)
                .findFirst();
    }

    /** Removes an entry whose caller disconnected; returns false if it is no longer queued. */
    public boolean cancel(QueueEntry<T> entry) {
        return mWaiting.remove(entry);
    }

    /**
     * Records another VM's requests of the customers under contention.
     *
     * @param vm the VM
     * @param counts its counts
     * @param nowMillis the current time, in milliseconds
     */
    public void onPeerCustomers(String vm, List<CustomerCount> counts, long nowMillis) {
        mUse.onPeerReport(vm, counts, nowMillis);
        // Where the slots are divided, other VMs can't use one that this VM leaves.
        boolean areSlotsShared = mSlots.cellSize() == 1;
        if (mYielding.isPresent() && areSlotsShared) {
            mElsewhere.onPeerReport(vm, counts, nowMillis);
        }
    }

    /** Sets the priorities of customers, by which requests that wait at other VMs are ordered. */
    public void setCustomerPriorities(CustomerPriorities priorities) {
        mElsewhere.setPriorities(priorities);
    }

    /** Sets the interval at which this VM reports to the others, in milliseconds. */
    public void setReportIntervalMillis(long intervalMillis) {
        mYielding.ifPresent(yielding -> yielding.setIntervalMillis(intervalMillis));
    }

    /** Returns the number of free slots that were left to other VMs since the last call. */
    public int drainYielded() {
        return mYielding.map(SlotYielding::drainYielded).orElse(0);
    }

    /** Returns what customers hold and wait for, at this VM and the others. */
    public CustomerUse customerUse() {
        return mUse;
    }

    /** Returns the number of queued entries by level of priority, without empty levels. */
    public Map<Integer, Integer> sizeByLevel() {
        return mWaiting.sizeByLevel();
    }

    /** Returns the number of queued entries. */
    public int size() {
        return mWaiting.size();
    }

    /** Returns whether entries are queued, so that retries and hedges would add to an overload. */
    public boolean isOverloaded() {
        return !mWaiting.isEmpty();
    }

    private Admission queueOrRefuse(QueueEntry<T> entry, long nowMillis) {
        boolean hasRoom = hasRoomFor(entry.customer());
        Optional<QueueEntry<T>> displaced =
                hasRoom
                        ? Optional.empty()
                        : mWaiting.displaceable(
                                entry, isCustomerLimitReached(entry.customer()), nowMillis);
        if (!hasRoom && displaced.isEmpty()) {
            return refuse(RefusalReason.QUEUE_FULL, drainMillis(nowMillis));
        }
        long waitMillis = waitMillis(entry, nowMillis);
        long spareMillis = spareMillis(entry, nowMillis);
        if (waitMillis >= spareMillis) {
            return refuse(RefusalReason.TOO_LATE, waitMillis - Math.max(0, spareMillis));
        }
        displaced.ifPresent(last -> displace(last, nowMillis));
        mWaiting.add(entry, objectiveStartMillis(entry));
        return new Admission.Queued();
    }

    /**
     * Decides whether a new entry leaves its slot to other VMs. One that could not wait keeps it,
     * since it would be refused.
     */
    private boolean isYielding(QueueEntry<T> entry, long nowMillis) {
        return mYielding.isPresent()
                && hasRoomFor(entry.customer())
                && waitMillis(entry, nowMillis) < spareMillis(entry, nowMillis)
                && mWaiting.isYielding(entry, nowMillis);
    }

    /** Returns the time for which an entry may wait and still end before its deadline. */
    private long spareMillis(QueueEntry<T> entry, long nowMillis) {
        return startByMillis(entry) - nowMillis;
    }

    /** Returns whether an entry that finds no free slot would be queued. */
    public boolean hasRoomFor(QueueEntry<T> entry, long nowMillis) {
        boolean hasRoom =
                hasRoomFor(entry.customer())
                        || mWaiting.displaceable(
                                        entry, isCustomerLimitReached(entry.customer()), nowMillis)
                                .isPresent();
        return hasRoom && waitMillis(entry, nowMillis) < spareMillis(entry, nowMillis);
    }

    private void displace(QueueEntry<T> entry, long nowMillis) {
        Admission.Refused refusal = refuse(RefusalReason.DISPLACED, drainMillis(nowMillis));
        mWaiting.remove(entry);
        mDisplaced.add(new ExpiredEntry<>(entry, refusal));
    }

    /**
     * Returns the entries that were refused because those of a higher priority took their places,
     * since the last call. Call it after an offer that was queued.
     */
    public List<ExpiredEntry<T>> drainDisplaced() {
        List<ExpiredEntry<T>> displaced = List.copyOf(mDisplaced);
        mDisplaced.clear();
        return displaced;
    }

    /** Returns when an entry must start to end before its deadline, in milliseconds. */
    private long startByMillis(QueueEntry<T> entry) {
        long typicalMillis = mTimes.meanMillis(entry.kind());
        return Math.min(entry.latestStartMillis(), entry.deadlineMillis() - typicalMillis);
    }

    /** Returns when an entry must start to meet its objective, in milliseconds. */
    private long objectiveStartMillis(QueueEntry<T> entry) {
        return entry.arrivedMillis()
                + entry.kind().lateAfter().toMillis()
                - mTimes.meanMillis(entry.kind());
    }

    /**
     * Returns whether another entry of a customer may be queued.
     *
     * <p>A customer may queue at most as many entries as there are free places, so several
     * customers that flood the queue together can't fill it.
     */
    private boolean hasRoomFor(String customer) {
        int freePlaces = mLimits.capacity() - mWaiting.size();
        return !isCustomerLimitReached(customer) && mUse.waiting(customer) < freePlaces;
    }

    private boolean isCustomerLimitReached(String customer) {
        return mUse.waiting(customer) >= mLimits.capacityPerCustomer();
    }

    private void acquireSlot(QueueEntry<T> entry, Endpoint target, long nowMillis) {
        mTimes.onAttemptStarted(nowMillis);
        mUse.onStarted(entry.customer());
        mBalancer.acquire(target, entry.kind().bulky(), nowMillis);
        if (entry.kind().bulky()) {
            mBulkyByCustomer.increment(entry.customer());
        }
    }

    private Admission.Refused refuse(RefusalReason reason, long waitMillis) {
        return new Admission.Refused(reason, mRetryAfter.delayMillis(waitMillis));
    }

    private Optional<Endpoint> targetFor(QueueEntry<T> entry, long nowMillis) {
        return hasBulkyAllowance(entry) ? mBalancer.pick(entry, nowMillis) : Optional.empty();
    }

    /** Returns whether the customer may have another bulky request in flight, if this is one. */
    private boolean hasBulkyAllowance(QueueEntry<?> entry) {
        return !entry.kind().bulky()
                || mBulkyByCustomer.count(entry.customer()) < mLimits.bulkyPerCustomer();
    }

    private TargetSearch newSearch(long nowMillis) {
        return new TargetSearch(mBalancer, this::hasBulkyAllowance, nowMillis);
    }

    private Optional<DispatchedEntry<T>> dispatchNext(long nowMillis) {
        Optional<Candidate<T>> next = mWaiting.pollNext(newSearch(nowMillis), nowMillis);
        if (next.isEmpty()) {
            return Optional.empty();
        }
        QueueEntry<T> entry = next.get().waiting().entry();
        acquireSlot(entry, next.get().target(), nowMillis);
        return Optional.of(new DispatchedEntry<>(entry, next.get().target()));
    }

    /**
     * Estimates how long an entry will be queued from now, in milliseconds. An entry that would
     * miss its objective by then comes after all that meet theirs.
     */
    private long waitMillis(QueueEntry<T> entry, long nowMillis) {
        long objectiveStartMillis = objectiveStartMillis(entry);
        long waitMillis = waitMillis(entry, objectiveStartMillis, nowMillis);
        return nowMillis + waitMillis < objectiveStartMillis
                ? waitMillis
                : waitMillis(entry, nowMillis, nowMillis);
    }

    private long waitMillis(QueueEntry<T> entry, long objectiveStartMillis, long nowMillis) {
        double turns = mWaiting.turns(entry, objectiveStartMillis, nowMillis);
        if (entry.kind().bulky() && mSlots.ownBulkyInFlightTotal() > 0) {
            return toMillis(turns / mTimes.bulkySlotReleasesPerMilli(mSlots, nowMillis));
        }
        return toMillis(
                mWaiting.dispatches(entry, turns) / mTimes.slotReleasesPerMilli(mSlots, nowMillis));
    }

    /** Estimates how long it takes to dispatch all queued entries, in milliseconds. */
    private long drainMillis(long nowMillis) {
        return toMillis(mWaiting.size() / mTimes.slotReleasesPerMilli(mSlots, nowMillis));
    }

    /**
     * Returns 0 for an unknown wait (nothing in flight, so no rate); the entry's patience then
     * bounds it.
     */
    private static long toMillis(double estimate) {
        return Double.isInfinite(estimate) || Double.isNaN(estimate) ? 0 : (long) estimate;
    }
}
