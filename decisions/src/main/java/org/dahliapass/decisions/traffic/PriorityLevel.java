package org.dahliapass.decisions.traffic;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.decisions.admission.HeldRequests;

/**
 * The queued entries of one level of priority, in lanes.
 *
 * @param <T> the caller's handle for a request
 */
final class PriorityLevel<T> {
    private final HeldRequests mHeld;
    private final Map<QueueLane, LaneQueue<T>> mLanes = new EnumMap<>(QueueLane.class);
    private final Map<QueueLane, Integer> mCreditByLane = new EnumMap<>(QueueLane.class);

    /**
     * Creates an empty level.
     *
     * @param held what a customer holds; those that hold less come first
     */
    PriorityLevel(HeldRequests held) {
        mHeld = held;
        for (QueueLane lane : QueueLane.values()) {
            mLanes.put(lane, new LaneQueue<>());
            mCreditByLane.put(lane, 0);
        }
    }

    void add(QueuedEntry<T> waiting) {
        laneOf(waiting).add(waiting);
    }

    void remove(QueuedEntry<T> waiting) {
        laneOf(waiting).remove(waiting);
    }

    /** Removes an entry that is dispatched. */
    void serve(QueuedEntry<T> waiting) {
        laneOf(waiting).serve(waiting);
    }

    private LaneQueue<T> laneOf(QueuedEntry<T> waiting) {
        return mLanes.get(QueueLane.of(waiting.entry().kind()));
    }

    int size() {
        return mLanes.values().stream().mapToInt(LaneQueue::size).sum();
    }

    /**
     * Returns the entry to dispatch next, and takes a turn of its lane; empty if no target can take
     * any.
     */
    Optional<Candidate<T>> next(TargetSearch search, boolean byObjective, long nowMillis) {
        Map<QueueLane, Candidate<T>> candidates = new EnumMap<>(QueueLane.class);
        for (QueueLane lane : QueueLane.values()) {
            candidate(lane, search, byObjective, nowMillis)
                    .ifPresent(candidate -> candidates.put(lane, candidate));
        }
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(nextLane(candidates)));
    }

    /** Returns whether a target can take an entry of a lane or of one before it. */
    boolean hasCandidate(
            QueueLane lastLane, TargetSearch search, boolean byObjective, long nowMillis) {
        for (QueueLane lane : QueueLane.values()) {
            if (lane.compareTo(lastLane) <= 0
                    && candidate(lane, search, byObjective, nowMillis).isPresent()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the first entry of a lane that a target can take. */
    private Optional<Candidate<T>> candidate(
            QueueLane lane, TargetSearch search, boolean byObjective, long nowMillis) {
        for (QueuedEntry<T> waiting : mLanes.get(lane).heads(mHeld, byObjective, nowMillis)) {
            Optional<Candidate<T>> candidate =
                    search.find(waiting.entry()).map(target -> new Candidate<>(waiting, target));
            if (candidate.isPresent()) {
                return candidate;
            }
        }
        return Optional.empty();
    }

    /**
     * Selects a lane by smooth weighted round robin among those with an entry to dispatch, which
     * prevents a busy lane from starving the others.
     */
    private QueueLane nextLane(Map<QueueLane, Candidate<T>> candidates) {
        QueueLane best = null;
        int total = 0;
        for (QueueLane lane : candidates.keySet()) {
            mCreditByLane.merge(lane, lane.weight(), Integer::sum);
            total += lane.weight();
            if (best == null || mCreditByLane.get(lane) > mCreditByLane.get(best)) {
                best = lane;
            }
        }
        mCreditByLane.merge(best, -total, Integer::sum);
        return best;
    }

    /** Returns the entry of the last lane that is dispatched last; empty if none waits. */
    Optional<QueuedEntry<T>> last(long nowMillis) {
        QueuedEntry<T> last = null;
        for (LaneQueue<T> lane : mLanes.values()) {
            last = lane.size() > 0 ? lane.last(mHeld, nowMillis) : last;
        }
        return Optional.ofNullable(last);
    }

    /** Returns the entry of a customer that is dispatched last; empty if none waits. */
    Optional<QueuedEntry<T>> lastOf(String customer) {
        QueuedEntry<T> last = null;
        for (LaneQueue<T> lane : mLanes.values()) {
            QueuedEntry<T> lastOfLane = lane.lastOf(customer);
            last = lastOfLane == null ? last : lastOfLane;
        }
        return Optional.ofNullable(last);
    }

    /** Counts the entries of its lane up to an entry, which waits or not, with this one. */
    double turns(QueuedEntry<T> waiting, boolean byObjective, long nowMillis) {
        return laneOf(waiting).entriesAhead(waiting, mHeld, byObjective, nowMillis) + 1.0;
    }

    /** Estimates how many entries of all lanes are dispatched during some turns of one lane. */
    double dispatches(QueueLane ownLane, double turns) {
        double dispatches = turns;
        for (QueueLane lane : QueueLane.values()) {
            if (lane != ownLane) {
                dispatches +=
                        Math.min(mLanes.get(lane).size(), turns * lane.weight() / ownLane.weight());
            }
        }
        return dispatches;
    }
}
