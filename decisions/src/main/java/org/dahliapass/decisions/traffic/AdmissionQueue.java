package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.dahliapass.model.Endpoint;

/**
 * Gives requests of one service a slot, lets them wait for one, or refuses them at once.
 *
 * <p>Each offered entry ends exactly once: dispatched, refused, expired or cancelled. Not safe for
 * use by several threads: the caller guards it, its slot table and its balancer by one lock. A call
 * costs O(targets + customers), and O(log n) in the entries that wait, but for an offer that must
 * wait: that one counts the customer's own entries ahead of it.
 *
 * @param <T> what the caller needs to go on with a request
 */
public final class AdmissionQueue<T> {
    private final SlotTable mSlots;
    private final LoadBalancer mBalancer;
    private final ServiceTimeEstimator mTimes;
    private final RetryAfterPolicy mRetryAfter;
    private final Map<QueueLane, LaneQueue<T>> mLanes = new EnumMap<>(QueueLane.class);
    private final Map<QueueLane, Integer> mCredit = new EnumMap<>(QueueLane.class);
    private final Map<QueueEntry<T>, QueuedEntry<T>> mWaiting = new HashMap<>();
    private final TreeSet<QueuedEntry<T>> mByLatestStart = new TreeSet<>();
    private final CustomerCounts mWaitingByCustomer = new CustomerCounts();
    private final CustomerCounts mBulkyByCustomer = new CustomerCounts();
    private QueueLimits mLimits;
    private long mSequence;

    /**
     * Starts empty.
     *
     * @param limits how much may wait
     * @param slots the slots of the service
     * @param balancer picks the targets
     * @param times how fast slots come free
     * @param random spreads the times at which refused callers come back
     */
    public AdmissionQueue(
            QueueLimits limits,
            SlotTable slots,
            LoadBalancer balancer,
            ServiceTimeEstimator times,
            RandomGenerator random) {
        mLimits = limits;
        mSlots = slots;
        mBalancer = balancer;
        mTimes = times;
        mRetryAfter = new RetryAfterPolicy(random);
        for (QueueLane lane : QueueLane.values()) {
            mLanes.put(lane, new LaneQueue<>());
            mCredit.put(lane, 0);
        }
    }

    /** Takes new limits, as targets come and go; what waits already stays. */
    public void setLimits(QueueLimits limits) {
        mLimits = limits;
    }

    /** Decides on a new request. */
    public Admission offer(QueueEntry<T> entry, long nowMillis) {
        if (!mBalancer.hasTargetFor(entry.kind(), entry.excluded())) {
            return refuse(RefusalReason.NO_TARGET, 0);
        }
        if (nowMillis >= entry.deadlineMillis()) {
            return refuse(RefusalReason.TOO_LATE, 0);
        }
        Optional<Endpoint> target = targetFor(entry, nowMillis);
        if (target.isPresent() && !isOvertaking(entry, nowMillis)) {
            take(entry, target.get(), nowMillis);
            return new Admission.Dispatch(target.get());
        }
        return queueOrRefuse(entry, nowMillis);
    }

    /**
     * Gives back the slot of a dispatched entry and decides who is next.
     *
     * @param entry the entry
     * @param target where it was dispatched to
     * @param startedMillis when it was dispatched, in milliseconds
     * @param answered whether a whole answer came
     * @param nowMillis the time, in milliseconds
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

    /** Does as {@code onTryEnded} for a retry or a hedge, whose slot the retry policy took. */
    public DispatchResult<T> onExtraAttemptEnded(
            QueueEntry<T> entry,
            Endpoint target,
            long startedMillis,
            boolean answered,
            long nowMillis) {
        mSlots.release(target, entry.kind().bulky());
        mTimes.onAttemptEnded(entry.kind(), nowMillis - startedMillis, answered, nowMillis);
        return onSlotFreed(nowMillis);
    }

    /**
     * Decides who is next: to be called whenever a slot may have come free, also by a new view of
     * the targets or a peer's report, and after an offer that was queued.
     */
    public DispatchResult<T> onSlotFreed(long nowMillis) {
        List<ExpiredEntry<T>> expired = expire(nowMillis);
        List<DispatchedEntry<T>> dispatched = new ArrayList<>();
        Optional<DispatchedEntry<T>> next = dispatchNext(nowMillis);
        while (next.isPresent()) {
            dispatched.add(next.get());
            next = dispatchNext(nowMillis);
        }
        return new DispatchResult<>(dispatched, expired);
    }

    /** Takes out the entries whose patience or deadline is over, to be refused at once. */
    public List<ExpiredEntry<T>> expire(long nowMillis) {
        List<ExpiredEntry<T>> expired = new ArrayList<>();
        long drainMillis = drainMillis(nowMillis);
        while (!mByLatestStart.isEmpty()
                && mByLatestStart.first().entry().latestStartMillis() <= nowMillis) {
            QueuedEntry<T> waiting = mByLatestStart.first();
            mLanes.get(QueueLane.of(waiting.entry().kind())).remove(waiting);
            forget(waiting);
            expired.add(
                    new ExpiredEntry<>(
                            waiting.entry(), refuse(RefusalReason.WAIT_TIMED_OUT, drainMillis)));
        }
        return expired;
    }

    /** Returns when {@code expire} has to be called next, in milliseconds; empty if none waits. */
    public OptionalLong nextExpiryMillis() {
        return mByLatestStart.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(mByLatestStart.first().entry().latestStartMillis());
    }

    /** Takes out an entry whose caller went away; false if it doesn't wait here any more. */
    public boolean cancel(QueueEntry<T> entry) {
        QueuedEntry<T> waiting = mWaiting.get(entry);
        if (waiting == null) {
            return false;
        }
        mLanes.get(QueueLane.of(entry.kind())).remove(waiting);
        forget(waiting);
        return true;
    }

    /** Returns how many entries wait. */
    public int size() {
        return mWaiting.size();
    }

    /** Returns whether somebody waits, so that work beyond first tries would do harm. */
    public boolean isOverloaded() {
        return !mWaiting.isEmpty();
    }

    private Admission queueOrRefuse(QueueEntry<T> entry, long nowMillis) {
        if (!hasRoomFor(entry.customer())) {
            return refuse(RefusalReason.QUEUE_FULL, drainMillis(nowMillis));
        }
        long waitMillis = waitMillis(entry, nowMillis);
        long typicalMillis = mTimes.meanMillis(entry.kind());
        long startByMillis =
                Math.min(entry.latestStartMillis(), entry.deadlineMillis() - typicalMillis);
        long spareMillis = startByMillis - nowMillis;
        if (waitMillis >= spareMillis) {
            return refuse(RefusalReason.TOO_LATE, waitMillis - Math.max(0, spareMillis));
        }
        enqueue(entry);
        return new Admission.Queued();
    }

    /**
     * Returns whether one more entry of a customer may wait.
     *
     * <p>Guards against floods of several customers that fill the queue together, so that all
     * others are refused: a customer may have as many entries as there are free places, so however
     * many flood it, about one flood's part stays free.
     */
    private boolean hasRoomFor(String customer) {
        int freePlaces = mLimits.capacity() - mWaiting.size();
        int limit = Math.min(mLimits.capacityPerCustomer(), freePlaces);
        return mWaitingByCustomer.count(customer) < limit;
    }

    private void enqueue(QueueEntry<T> entry) {
        QueuedEntry<T> waiting = new QueuedEntry<>(entry, mSequence++);
        mWaiting.put(entry, waiting);
        mByLatestStart.add(waiting);
        mWaitingByCustomer.increment(entry.customer());
        mLanes.get(QueueLane.of(entry.kind())).add(waiting);
    }

    private void forget(QueuedEntry<T> waiting) {
        mWaiting.remove(waiting.entry());
        mByLatestStart.remove(waiting);
        mWaitingByCustomer.decrement(waiting.entry().customer());
    }

    private void take(QueueEntry<T> entry, Endpoint target, long nowMillis) {
        mTimes.onAttemptStarted(nowMillis);
        mSlots.acquire(target, entry.kind().bulky());
        if (entry.kind().bulky()) {
            mBulkyByCustomer.increment(entry.customer());
        }
    }

    private Admission.Refused refuse(RefusalReason reason, long waitMillis) {
        return new Admission.Refused(reason, mRetryAfter.delayMillis(waitMillis));
    }

    /** Returns whether an entry that waits for its turn could take the free slot as well. */
    private boolean isOvertaking(QueueEntry<T> entry, long nowMillis) {
        QueueLane own = QueueLane.of(entry.kind());
        for (QueueLane lane : QueueLane.values()) {
            if (lane.compareTo(own) <= 0 && candidate(lane, nowMillis).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private Optional<Endpoint> targetFor(QueueEntry<T> entry, long nowMillis) {
        if (entry.kind().bulky()
                && mBulkyByCustomer.count(entry.customer()) >= mLimits.bulkyPerCustomer()) {
            return Optional.empty();
        }
        return mBalancer.pick(entry.kind(), entry.excluded(), nowMillis);
    }

    private Optional<DispatchedEntry<T>> dispatchNext(long nowMillis) {
        Map<QueueLane, Candidate<T>> candidates = new EnumMap<>(QueueLane.class);
        for (QueueLane lane : QueueLane.values()) {
            candidate(lane, nowMillis).ifPresent(candidate -> candidates.put(lane, candidate));
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        QueueLane lane = nextLane(candidates);
        Candidate<T> chosen = candidates.get(lane);
        mLanes.get(lane).serve(chosen.waiting());
        forget(chosen.waiting());
        take(chosen.waiting().entry(), chosen.target(), nowMillis);
        return Optional.of(new DispatchedEntry<>(chosen.waiting().entry(), chosen.target()));
    }

    private Optional<Candidate<T>> candidate(QueueLane lane, long nowMillis) {
        for (QueuedEntry<T> waiting : mLanes.get(lane).heads()) {
            if (waiting.entry().latestStartMillis() <= nowMillis) {
                continue;
            }
            Optional<Endpoint> target = targetFor(waiting.entry(), nowMillis);
            if (target.isPresent()) {
                return Optional.of(new Candidate<>(waiting, target.get()));
            }
        }
        return Optional.empty();
    }

    /**
     * Chooses among the lanes that could go on, by smooth weighted round robin.
     *
     * <p>Guards against a lane that always has entries and so starves the lanes behind it: every
     * lane that waits gains credit by its weight, and the one served pays for all.
     */
    private QueueLane nextLane(Map<QueueLane, Candidate<T>> candidates) {
        QueueLane best = null;
        int total = 0;
        for (QueueLane lane : candidates.keySet()) {
            mCredit.merge(lane, lane.weight(), Integer::sum);
            total += lane.weight();
            if (best == null || mCredit.get(lane) > mCredit.get(best)) {
                best = lane;
            }
        }
        mCredit.merge(best, -total, Integer::sum);
        return best;
    }

    /** Estimates how long a new entry of this kind and customer would wait, in milliseconds. */
    private long waitMillis(QueueEntry<T> entry, long nowMillis) {
        QueueLane own = QueueLane.of(entry.kind());
        int ahead = mLanes.get(own).entriesAhead(entry.customer(), entry.latestStartMillis());
        double turns = ahead + 1.0;
        if (own == QueueLane.BULKY && mSlots.ownBulkyInFlightTotal() > 0) {
            return millis(turns / mTimes.bulkySlotReleasesPerMilli(mSlots, nowMillis));
        }
        double all = turns;
        for (QueueLane lane : QueueLane.values()) {
            if (lane != own) {
                all += Math.min(mLanes.get(lane).size(), turns * lane.weight() / own.weight());
            }
        }
        return millis(all / mTimes.slotReleasesPerMilli(mSlots, nowMillis));
    }

    /** Estimates how long it takes until all that wait now are served, in milliseconds. */
    private long drainMillis(long nowMillis) {
        return millis(mWaiting.size() / mTimes.slotReleasesPerMilli(mSlots, nowMillis));
    }

    /** Nothing in flight means no rate: the wait is then unknown and patience bounds it. */
    private static long millis(double estimate) {
        return Double.isInfinite(estimate) || Double.isNaN(estimate) ? 0 : (long) estimate;
    }

    private record Candidate<T>(QueuedEntry<T> waiting, Endpoint target) {}
}
