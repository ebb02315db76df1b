package org.dahliapass.decisions.traffic;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * Decides whether a request whose first try is slow gets a second one beside it.
 *
 * <p>A request gets at most one hedge, and none after a retry. The caller cancels the try that
 * loses. Not safe for use by several threads: the caller guards it by the lock of its slot table. A
 * call costs O(targets).
 */
public final class HedgePolicy {
    /** Nine in ten answers take less than twice the mean, as skewed as their times are. */
    private static final int SLOW_ANSWER_FACTOR = 2;

    /**
     * A first try gets a hedge only from this chance on that it is lost. Without it, sound answers
     * that just take long spend the further tries that failures need.
     */
    private static final double LEAST_DOUBT = 0.25;

    private final RetryBudget mBudget;
    private final LoadBalancer mBalancer;
    private final SlotTable mSlots;
    private final ServiceTimeEstimator mTimes;
    private final PassiveFailureDetector mEvidence;

    /**
     * Joins what a decision needs.
     *
     * @param budget the service's further tries, shared with the retries
     * @param balancer picks the targets
     * @param slots the slots of the service
     * @param times how long answers take
     * @param evidence what the newest work shows of the targets
     */
    public HedgePolicy(
            RetryBudget budget,
            LoadBalancer balancer,
            SlotTable slots,
            ServiceTimeEstimator times,
            PassiveFailureDetector evidence) {
        mBudget = budget;
        mBalancer = balancer;
        mSlots = slots;
        mTimes = times;
        mEvidence = evidence;
    }

    /**
     * Returns how long after the first try {@code start} is worth asking; empty for never.
     *
     * <p>So that the second answer still meets the kind's objective, it leaves as much of it as
     * nine in ten answers need. No hedge starts before the mean time of an answer: by then a third
     * of sound answers are out, and more would cost the budget what failures need.
     */
    public OptionalLong delayMillis(RequestKind kind) {
        if (!mayHedge(kind)) {
            return OptionalLong.empty();
        }
        long typical = mTimes.meanMillis(kind);
        long latest = kind.lateAfter().toMillis() - SLOW_ANSWER_FACTOR * typical;
        long known = typical == 0 ? kind.hedgeAfter().toMillis() : Math.max(typical, latest);
        return OptionalLong.of(Math.min(known, kind.hedgeAfter().toMillis()));
    }

    /** Returns whether a loss of this kind's requests can be made good by a hedge. */
    static boolean mayHedge(RequestKind kind) {
        return kind.idempotency().isRepeatable() && !kind.hedgeAfter().isZero();
    }

    /**
     * Starts a hedge if it may be had; its slot and its part of the budget are then taken.
     *
     * @param kind the request's kind
     * @param tried all targets tried so far
     * @param deadlineMillis when the answer is of no more use, in milliseconds
     * @param overloaded whether requests of the service wait for slots
     * @param nowMillis the time, in milliseconds
     * @return the target; empty for no hedge
     */
    public Optional<Endpoint> tryStart(
            RequestKind kind,
            Set<Endpoint> tried,
            long deadlineMillis,
            boolean overloaded,
            long nowMillis) {
        boolean hadFurtherTry = tried.size() > 1;
        if (hadFurtherTry || !mayHedge(kind)) {
            return Optional.empty();
        }
        if (overloaded || !mBudget.hasRemaining(kind, nowMillis)) {
            return Optional.empty();
        }
        if (deadlineMillis - nowMillis < Math.max(1, mTimes.meanMillis(kind))) {
            return Optional.empty();
        }
        if (!isDoubtful(tried, nowMillis)) {
            return Optional.empty();
        }
        Optional<Endpoint> target = mBalancer.pick(kind, tried, nowMillis);
        target.ifPresent(
                endpoint -> {
                    mBudget.onExtraAttempt(nowMillis);
                    mSlots.acquire(endpoint, kind.bulky());
                });
        return target;
    }

    private boolean isDoubtful(Set<Endpoint> tried, long nowMillis) {
        return tried.stream()
                .anyMatch(target -> mEvidence.lossProbability(target, nowMillis) >= LEAST_DOUBT);
    }
}
