package org.dahliapass.decisions.traffic;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.dahliapass.decisions.limits.LimitMargin;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;

/**
 * Decides whether a request whose first attempt is slow gets a second one in parallel.
 *
 * <p>A request gets at most one hedge, and none after a retry. The caller cancels the losing
 * attempt. Not thread-safe; guarded by the service's lock. A call is O(targets).
 */
public final class HedgePolicy {
    /** About 90% of responses take less than this multiple of the mean. */
    private static final int SLOW_ANSWER_FACTOR = 2;

    /**
     * Prevents hedges of merely slow responses from exhausting the retry budget, which failed
     * requests need.
     */
    private static final double MIN_LOSS_PROBABILITY = 0.25;

    /** Before the usual time of a hedge the running attempt must more likely be lost than not. */
    private static final double MIN_EARLY_LOSS_PROBABILITY = 0.5;

    /** Below this share of the budget hedges by age are limited to the oldest attempts. */
    private static final double SHORT_BUDGET_SHARE = 0.5;

    /**
     * The loss probability that the age of an attempt must show while most of the budget is left.
     */
    private static final double MIN_LOSS_PROBABILITY_AT_START = 0.1;

    /** Above this share of the budget most of it is left. */
    private static final double AMPLE_BUDGET_SHARE = 0.8;

    /** The loss probability that the age of an attempt must show when the budget is used up. */
    private static final double MIN_LOSS_PROBABILITY_AT_END = 0.9;

    /**
     * Above it an attempt is worth less than another one that may have to wait for a slot. It
     * leaves room for the other attempt, whose target may fail as well.
     */
    private static final double MIN_REPLACE_PROBABILITY = 0.6;

    /**
     * As {@code MIN_REPLACE_PROBABILITY} while requests wait: a hedge isn't sent then, and each
     * lost attempt keeps a slot from them.
     */
    private static final double MIN_REPLACE_PROBABILITY_IN_OVERLOAD = 0.5;

    /** Another attempt must have time for a wait and for a response, as multiples of the mean. */
    private static final int REPLACE_TIME_FACTOR = 2;

    private final RetryBudget mBudget;
    private final LoadBalancer mBalancer;
    private final ServiceTimeEstimator mTimes;
    private final PassiveFailureDetector mFailureDetector;
    private final AttemptLossEstimator mLossEstimator;
    private final TrafficPolicy mPolicy;

    /**
     * Creates a policy.
     *
     * @param budget the service's retry budget, shared with the retries
     * @param balancer picks the targets
     * @param times estimates response times
     * @param failureDetector estimates the loss probability of targets
     * @param policy whether attempts are hedged by their age
     */
    public HedgePolicy(
            RetryBudget budget,
            LoadBalancer balancer,
            ServiceTimeEstimator times,
            PassiveFailureDetector failureDetector,
            TrafficPolicy policy) {
        mBudget = budget;
        mBalancer = balancer;
        mTimes = times;
        mFailureDetector = failureDetector;
        mLossEstimator = new AttemptLossEstimator(times, failureDetector);
        mPolicy = policy;
    }

    /**
     * Returns the delay after the first attempt at which to call {@code tryStart}; empty for no
     * hedge.
     *
     * <p>Attempts that are hedged by their age are checked from the mean response time on, since
     * they may be presumed lost before the usual time of a hedge.
     */
    public OptionalLong delayMillis(RequestKind kind) {
        if (!mayHedge(kind)) {
            return OptionalLong.empty();
        }
        long mean = mTimes.meanMillis(kind);
        long usual = usualDelayMillis(kind);
        return OptionalLong.of(mPolicy.hedgesByAge() && mean > 0 ? Math.min(mean, usual) : usual);
    }

    /**
     * Returns the usual time of a hedge, in milliseconds after the start of an attempt.
     *
     * <p>It leaves enough of the kind's latency objective for 90% of the responses to a hedge, and
     * is at least the mean response time, so that hedges don't exhaust the retry budget.
     */
    private long usualDelayMillis(RequestKind kind) {
        long mean = mTimes.meanMillis(kind);
        long latest = kind.lateAfter().toMillis() - SLOW_ANSWER_FACTOR * mean;
        long delay = mean == 0 ? kind.hedgeAfter().toMillis() : Math.max(mean, latest);
        return Math.min(delay, kind.hedgeAfter().toMillis());
    }

    /** Returns whether requests of this kind may be hedged. */
    static boolean mayHedge(RequestKind kind) {
        return kind.idempotency().isRepeatable() && !kind.hedgeAfter().isZero();
    }

    /**
     * Starts a hedge if the policy allows one; its slot is then acquired and the budget charged.
     *
     * @param kind the request's kind
     * @param attempt the only attempt that has no response yet
     * @param tried the targets of all attempts so far
     * @param deadlineMillis the request's deadline, in milliseconds
     * @param overloaded whether requests of the service are queued
     * @param nowMillis the current time, in milliseconds
     * @return the hedge; empty for none
     */
    public Optional<Hedge> tryStart(
            RequestKind kind,
            RunningAttempt attempt,
            Set<Endpoint> tried,
            long deadlineMillis,
            boolean overloaded,
            long nowMillis) {
        if (hasExtraAttempt(attempt, tried) || !mayHedge(kind)) {
            return Optional.empty();
        }
        if (overloaded || !mBudget.hasRemaining(kind, nowMillis)) {
            return Optional.empty();
        }
        if (deadlineMillis - nowMillis < Math.max(1, mTimes.meanMillis(kind))) {
            return Optional.empty();
        }
        Optional<HedgeReason> reason = reason(kind, attempt, tried, nowMillis);
        if (reason.isEmpty()) {
            return Optional.empty();
        }
        Optional<Endpoint> target =
                mPolicy.hedgesByAge()
                        ? mBalancer.pickForLastAttempt(LimitMargin.NAMED, kind, tried, nowMillis)
                        : mBalancer.pickWithin(LimitMargin.NAMED, kind, tried, nowMillis);
        if (mPolicy.learnsResponseTimes()) {
            target = target.filter(it -> !mBalancer.isBetterInUse(it, kind, tried, nowMillis));
        }
        target.ifPresent(
                endpoint -> {
                    mBudget.onExtraAttempt(nowMillis);
                    mBalancer.acquire(endpoint, kind.bulky(), nowMillis);
                });
        return target.map(endpoint -> new Hedge(endpoint, reason.get()));
    }

    /**
     * Returns whether the request was retried or hedged before. By age, targets that provably did
     * not run the request don't count, so that a read whose first target could not be reached is
     * hedged like any other.
     */
    private boolean hasExtraAttempt(RunningAttempt attempt, Set<Endpoint> tried) {
        return mPolicy.hedgesByAge() ? attempt.targetsUsed() > 1 : tried.size() > 1;
    }

    /** Returns why a hedge is due; empty if it isn't. */
    private Optional<HedgeReason> reason(
            RequestKind kind, RunningAttempt attempt, Set<Endpoint> tried, long nowMillis) {
        if (!mPolicy.hedgesByAge()) {
            return isAnyInDoubt(tried, nowMillis)
                    ? Optional.of(HedgeReason.TARGET)
                    : Optional.empty();
        }
        boolean isEarly = nowMillis - attempt.startedMillis() < usualDelayMillis(kind);
        if (!isEarly && isInDoubt(attempt.target(), nowMillis)) {
            return Optional.of(HedgeReason.TARGET);
        }
        double minProbability =
                Math.max(
                        isEarly ? MIN_EARLY_LOSS_PROBABILITY : 0,
                        minLossProbabilityByAge(kind, attempt, nowMillis));
        return mLossEstimator.lossProbability(kind, attempt, nowMillis) >= minProbability
                ? Optional.of(HedgeReason.AGE)
                : Optional.empty();
    }

    /**
     * Returns the loss probability at which an attempt is hedged by its age. It increases while the
     * budget is short, so that the attempts that have waited longest go first and some is left for
     * failed requests.
     */
    private double minLossProbabilityByAge(
            RequestKind kind, RunningAttempt attempt, long nowMillis) {
        double share = mBudget.remainingShare(kind, nowMillis);
        if (share <= SHORT_BUDGET_SHARE) {
            return MIN_LOSS_PROBABILITY_AT_END
                    - (MIN_LOSS_PROBABILITY_AT_END - MIN_LOSS_PROBABILITY)
                            * (share / SHORT_BUDGET_SHARE);
        }
        if (!mPolicy.learnsResponseTimes() || isHedgeLate(kind, attempt, nowMillis)) {
            return MIN_LOSS_PROBABILITY;
        }
        double unused = (share - SHORT_BUDGET_SHARE) / (AMPLE_BUDGET_SHARE - SHORT_BUDGET_SHARE);
        return MIN_LOSS_PROBABILITY
                - (MIN_LOSS_PROBABILITY - MIN_LOSS_PROBABILITY_AT_START) * Math.min(1, unused);
    }

    /** Returns whether a hedge would on average end later than the objective. */
    private boolean isHedgeLate(RequestKind kind, RunningAttempt attempt, long nowMillis) {
        long objectiveMillis = attempt.arrivedMillis() + kind.lateAfter().toMillis();
        return nowMillis + mTimes.meanMillis(kind) > objectiveMillis;
    }

    /** Returns the probability that an attempt without a response is lost, from 0 to 1. */
    public double lossProbability(RequestKind kind, RunningAttempt attempt, long nowMillis) {
        return mLossEstimator.lossProbability(kind, attempt, nowMillis);
    }

    /**
     * Takes an attempt from the budget for a request whose only attempt is given up because it is
     * probably lost, while no target has room for a hedge.
     *
     * <p>Answers the load of targets that hang: each lost attempt keeps a slot until its timeout,
     * so that after some seconds all slots are taken and nothing is hedged any more.
     *
     * @param kind the request's kind
     * @param attempt the only attempt that has no response yet
     * @param deadlineMillis the request's deadline, in milliseconds
     * @param overloaded whether requests of the service are queued
     * @param nowMillis the current time, in milliseconds
     * @return whether the attempt is to be aborted and the request queued again
     */
    public boolean tryReplace(
            RequestKind kind,
            RunningAttempt attempt,
            long deadlineMillis,
            boolean overloaded,
            long nowMillis) {
        if (!mPolicy.hedgesByAge() || !mayHedge(kind) || attempt.targetsUsed() > 1) {
            return false;
        }
        long neededMillis = Math.max(1, REPLACE_TIME_FACTOR * mTimes.meanMillis(kind));
        boolean isWorthwhile =
                deadlineMillis - nowMillis >= neededMillis
                        && mLossEstimator.lossProbability(kind, attempt, nowMillis)
                                >= minReplaceProbability(overloaded);
        if (!isWorthwhile || !mBudget.hasRemaining(kind, nowMillis)) {
            return false;
        }
        mBudget.onExtraAttempt(nowMillis);
        return true;
    }

    private double minReplaceProbability(boolean overloaded) {
        return mPolicy.learnsResponseTimes() && overloaded
                ? MIN_REPLACE_PROBABILITY_IN_OVERLOAD
                : MIN_REPLACE_PROBABILITY;
    }

    private boolean isAnyInDoubt(Set<Endpoint> targets, long nowMillis) {
        return targets.stream().anyMatch(target -> isInDoubt(target, nowMillis));
    }

    private boolean isInDoubt(Endpoint target, long nowMillis) {
        return mFailureDetector.lossProbability(target, nowMillis) >= MIN_LOSS_PROBABILITY;
    }
}
