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

    private final RetryBudget mBudget;
    private final LoadBalancer mBalancer;
    private final ServiceTimeEstimator mTimes;
    private final PassiveFailureDetector mFailureDetector;

    /**
     * Creates a policy.
     *
     * @param budget the service's retry budget, shared with the retries
     * @param balancer picks the targets
     * @param times estimates response times
     * @param failureDetector estimates the loss probability of targets
     */
    public HedgePolicy(
            RetryBudget budget,
            LoadBalancer balancer,
            ServiceTimeEstimator times,
            PassiveFailureDetector failureDetector) {
        mBudget = budget;
        mBalancer = balancer;
        mTimes = times;
        mFailureDetector = failureDetector;
    }

    /**
     * Returns the delay after the first attempt at which to call {@code tryStart}; empty for no
     * hedge.
     *
     * <p>The delay leaves enough of the kind's latency objective for 90% of the responses to a
     * hedge, and is at least the mean response time, so that hedges don't exhaust the retry budget.
     */
    public OptionalLong delayMillis(RequestKind kind) {
        if (!mayHedge(kind)) {
            return OptionalLong.empty();
        }
        long mean = mTimes.meanMillis(kind);
        long latest = kind.lateAfter().toMillis() - SLOW_ANSWER_FACTOR * mean;
        long delay = mean == 0 ? kind.hedgeAfter().toMillis() : Math.max(mean, latest);
        return OptionalLong.of(Math.min(delay, kind.hedgeAfter().toMillis()));
    }

    /** Returns whether requests of this kind may be hedged. */
    static boolean mayHedge(RequestKind kind) {
        return kind.idempotency().isRepeatable() && !kind.hedgeAfter().isZero();
    }

    /**
     * Starts a hedge if the policy allows one; its slot is then acquired and the budget charged.
     *
     * @param kind the request's kind
     * @param tried the targets of all attempts so far
     * @param deadlineMillis the request's deadline, in milliseconds
     * @param overloaded whether requests of the service are queued
     * @param nowMillis the current time, in milliseconds
     * @return the target; empty for no hedge
     */
    public Optional<Endpoint> tryStart(
            RequestKind kind,
            Set<Endpoint> tried,
            long deadlineMillis,
            boolean overloaded,
            long nowMillis) {
        boolean hasExtraAttempt = tried.size() > 1;
        if (hasExtraAttempt || !mayHedge(kind)) {
            return Optional.empty();
        }
        if (overloaded || !mBudget.hasRemaining(kind, nowMillis)) {
            return Optional.empty();
        }
        if (deadlineMillis - nowMillis < Math.max(1, mTimes.meanMillis(kind))) {
            return Optional.empty();
        }
        if (!isLossLikely(tried, nowMillis)) {
            return Optional.empty();
        }
        Optional<Endpoint> target = mBalancer.pickWithin(LimitMargin.NAMED, kind, tried, nowMillis);
        target.ifPresent(
                endpoint -> {
                    mBudget.onExtraAttempt(nowMillis);
                    mBalancer.acquire(endpoint, kind.bulky(), nowMillis);
                });
        return target;
    }

    private boolean isLossLikely(Set<Endpoint> tried, long nowMillis) {
        return tried.stream()
                .anyMatch(
                        target ->
                                mFailureDetector.lossProbability(target, nowMillis)
                                        >= MIN_LOSS_PROBABILITY);
    }
}
