package org.dahliapass.decisions.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.dahliapass.decisions.admission.AdmissionOrder;
import org.dahliapass.decisions.admission.CustomerUse;
import org.dahliapass.decisions.admission.HeldRequests;
import org.dahliapass.decisions.admission.PriorityTurns;
import org.dahliapass.decisions.admission.SlotYielding;

/**
 * The entries that wait for a slot of one service, in the order in which they are dispatched: by
 * priority, then by lane, then by customer.
 *
 * <p>Not thread-safe; guarded by the service's lock.
 *
 * @param <T> the caller's handle for a request
 */
final class WaitingRequests<T> {
    private final AdmissionOrder mOrder;
    private final CustomerUse mUse;
    private final HeldRequests mHeld;
    private final Optional<SlotYielding> mYielding;
    private final PriorityTurns mTurns = new PriorityTurns();

    /** Levels are kept when they are empty, with the turns of their lanes. */
    private final TreeMap<Integer, PriorityLevel<T>> mLevels = new TreeMap<>();

    private final Map<QueueEntry<T>, QueuedEntry<T>> mEntries = new HashMap<>();
    private final TreeSet<QueuedEntry<T>> mByLatestStart = new TreeSet<>();
    private long mSequence;

    /**
     * Creates an empty structure.
     *
     * @param order the order of priorities
     * @param use counts the waiting entries of each customer
     * @param held what a customer holds; of the same lane, those that hold less come first
     * @param yielding decides whether a slot is left to other VMs; empty if none is
     */
    WaitingRequests(
            AdmissionOrder order,
            CustomerUse use,
            HeldRequests held,
            Optional<SlotYielding> yielding) {
        mOrder = order;
        mUse = use;
        mHeld = held;
        mYielding = yielding;
    }

    /**
     * Adds an entry.
     *
     * @param objectiveStartMillis the time by which it must start to meet its objective, in
     *     milliseconds
     */
    void add(QueueEntry<T> entry, long objectiveStartMillis) {
        QueuedEntry<T> waiting = new QueuedEntry<>(entry, mSequence++, objectiveStartMillis);
        mEntries.put(entry, waiting);
        mByLatestStart.add(waiting);
        mUse.onQueued(entry.customer());
        levelOf(entry).add(waiting);
    }

    /** Removes an entry; returns false if it doesn't wait. */
    boolean remove(QueueEntry<T> entry) {
        QueuedEntry<T> waiting = mEntries.get(entry);
        if (waiting == null) {
            return false;
        }
        levelOf(entry).remove(waiting);
        removeFromIndexes(waiting);
        return true;
    }

    private void removeFromIndexes(QueuedEntry<T> waiting) {
        mEntries.remove(waiting.entry());
        mByLatestStart.remove(waiting);
        mUse.onDequeued(waiting.entry().customer());
    }

    /**
     * Removes and returns the next entry that a target can take; empty if there is none or if the
     * slot is left to other VMs.
     */
    Optional<Candidate<T>> pollNext(TargetSearch search, long nowMillis) {
        for (int number : mTurns.order(waitingLevels())) {
            if (isPaused(number, nowMillis)) {
                return Optional.empty();
            }
            PriorityLevel<T> level = mLevels.get(number);
            Optional<Candidate<T>> next = level.next(search, isByObjective(), nowMillis);
            if (next.isPresent()) {
                if (tryYield(next.get().waiting().entry(), level.size(), nowMillis)) {
                    mTurns.onYielded(waitingLevels().tailSet(number));
                    return Optional.empty();
                }
                level.serve(next.get().waiting());
                removeFromIndexes(next.get().waiting());
                mTurns.onDispatched(number, waitingLevels());
                return next;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether an entry that doesn't wait would be dispatched before one that a target can
     * take and that comes first.
     */
    boolean isOvertaking(QueueEntry<T> entry, TargetSearch search, long nowMillis) {
        int own = mOrder.level(entry.priority());
        for (int number : waitingLevels()) {
            QueueLane lastLane = number == own ? QueueLane.of(entry.kind()) : QueueLane.BULKY;
            boolean isFirst = number <= own || mTurns.isDue(number);
            if (isFirst
                    && mLevels.get(number)
                            .hasCandidate(lastLane, search, isByObjective(), nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a level must not use a slot that was left; one that is due may. */
    private boolean isPaused(int level, long nowMillis) {
        return mYielding.isPresent()
                && mYielding.get().isPaused(level, nowMillis)
                && !mTurns.isDue(level);
    }

    /** Decides whether a slot is left to other VMs; a level that is due leaves none. */
    private boolean tryYield(QueueEntry<T> entry, int ownWaiting, long nowMillis) {
        int level = mOrder.level(entry.priority());
        return mYielding.isPresent()
                && !mTurns.isDue(level)
                && mYielding.get().tryYield(level, entry.customer(), ownWaiting, nowMillis);
    }

    /**
     * Decides whether an entry that doesn't wait leaves its slot to other VMs, so that it has to
     * wait.
     */
    boolean isYielding(QueueEntry<T> entry, long nowMillis) {
        int level = mOrder.level(entry.priority());
        if (isPaused(level, nowMillis)) {
            return true;
        }
        if (!tryYield(entry, levelOf(entry).size() + 1, nowMillis)) {
            return false;
        }
        SortedSet<Integer> passed = new TreeSet<>(waitingLevels().tailSet(level));
        passed.add(level);
        mTurns.onYielded(passed);
        return true;
    }

    /** Records that an entry is dispatched without having waited. */
    void onDispatchedAtOnce(QueueEntry<T> entry) {
        mTurns.onDispatched(mOrder.level(entry.priority()), waitingLevels());
    }

    /**
     * Returns the entry to refuse so that one of a higher priority finds room: the last one of the
     * lowest level below it; empty if none waits there.
     *
     * @param entry the entry that needs room
     * @param ofCustomer whether the entry must be one of the same customer
     */
    Optional<QueueEntry<T>> displaceable(QueueEntry<T> entry, boolean ofCustomer, long nowMillis) {
        int own = mOrder.level(entry.priority());
        for (PriorityLevel<T> level : mLevels.tailMap(own, false).descendingMap().values()) {
            Optional<QueuedEntry<T>> last =
                    ofCustomer ? level.lastOf(entry.customer()) : level.last(nowMillis);
            if (last.isPresent()) {
                return last.map(QueuedEntry::entry);
            }
        }
        return Optional.empty();
    }

    /** Returns the entry whose latest start is the earliest; empty if none waits. */
    Optional<QueueEntry<T>> firstToExpire() {
        return mByLatestStart.isEmpty()
                ? Optional.empty()
                : Optional.of(mByLatestStart.first().entry());
    }

    /** Returns all entries, those with the earliest latest start first. */
    List<QueueEntry<T>> all() {
        return mByLatestStart.stream().map(QueuedEntry::entry).toList();
    }

    int size() {
        return mEntries.size();
    }

    boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Returns the number of waiting entries by level of priority, without empty levels. */
    Map<Integer, Integer> sizeByLevel() {
        Map<Integer, Integer> sizes = new TreeMap<>();
        waitingLevels().forEach(level -> sizes.put(level, mLevels.get(level).size()));
        return sizes;
    }

    /**
     * Estimates how many turns of its lane an entry needs until it is dispatched, with its own.
     *
     * @param entry the entry, which waits or not
     * @param objectiveStartMillis the time by which it must start to meet its objective, in
     *     milliseconds
     */
    double turns(QueueEntry<T> entry, long objectiveStartMillis, long nowMillis) {
        QueuedEntry<T> waiting =
                mEntries.getOrDefault(
                        entry, new QueuedEntry<>(entry, mSequence, objectiveStartMillis));
        return levelOf(entry).turns(waiting, isByObjective(), nowMillis);
    }

    /**
     * Estimates how many dispatches of all levels these turns take, with the last one.
     *
     * <p>All that waits on higher levels comes first, as far as the level isn't due before: each
     * level is dispatched once in ten times. For the same reason some of the lower levels come
     * first.
     */
    double dispatches(QueueEntry<T> entry, double turns) {
        int own = mOrder.level(entry.priority());
        double ofLevel = levelOf(entry).dispatches(QueueLane.of(entry.kind()), turns);
        int higher = 0;
        for (PriorityLevel<T> level : mLevels.headMap(own).values()) {
            higher += level.size();
        }
        double dispatches = Math.min(ofLevel + higher, ofLevel * PriorityTurns.DISPATCHES_PER_TURN);
        double lower = 0;
        for (PriorityLevel<T> level : mLevels.tailMap(own, false).values()) {
            lower += PriorityTurns.lowerDispatches(dispatches, level.size());
        }
        return dispatches + lower;
    }

    private PriorityLevel<T> levelOf(QueueEntry<T> entry) {
        return mLevels.computeIfAbsent(
                mOrder.level(entry.priority()), unused -> new PriorityLevel<>(mHeld));
    }

    private SortedSet<Integer> waitingLevels() {
        SortedSet<Integer> waiting = new TreeSet<>();
        mLevels.forEach(
                (number, level) -> {
                    if (level.size() > 0) {
                        waiting.add(number);
                    }
                });
        return waiting;
    }

    /**
     * Returns whether entries that can still meet their objective come first. Where all requests
     * have one priority and one customer, they keep the order of their latest start.
     */
    boolean isByObjective() {
        return mOrder.isByPriority() && (mUse.waitingCustomers() > 1 || waitingLevels().size() > 1);
    }
}
