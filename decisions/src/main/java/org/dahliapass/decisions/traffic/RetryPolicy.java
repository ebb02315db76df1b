package org.dahliapass.decisions.traffic;

import java.util.Optional;
import org.dahliapass.decisions.traffic.RetryDecision.Retry;
import org.dahliapass.decisions.traffic.RetryDecision.Stop;
import org.dahliapass.decisions.traffic.RetryDecision.StopReason;
import org.dahliapass.model.Endpoint;

/**
 * Decides whether a failed request is retried, and at which target.
 *
 * <p>Not thread-safe; guarded by the service's lock. A call is O(targets).
 */
public final class RetryPolicy {
    private static final int MAX_ATTEMPTS = 3;

    private final RetryBudget mBudget;
    private final LoadBalancer mBalancer;
    private final ServiceTimeEstimator mTimes;
    private final TrafficPolicy mPolicy;

    /**
     * Creates a policy.
     *
     * @param budget the service's retry budget
     * @param balancer picks the targets
     * @param times estimates response times
     * @param policy whether attempts are hedged by their age
     */
    public RetryPolicy(
            RetryBudget budget,
            LoadBalancer balancer,
            ServiceTimeEstimator times,
            TrafficPolicy policy) {
        mBudget = budget;
        mBalancer = balancer;
        mTimes = times;
        mPolicy = policy;
    }

    /**
     * Decides on a request whose last attempt failed and that has no other attempt in flight.
     *
     * @param failed the failed attempt
     * @param overloaded whether requests of the service are queued
     * @param nowMillis the current time, in milliseconds
     */
    public RetryDecision decide(FailedAttempt failed, boolean overloaded, long nowMillis) {
        Optional<StopReason> stopReason = stopReason(failed, overloaded, nowMillis);
        if (stopReason.isPresent()) {
            return new Stop(stopReason.get());
        }
        Optional<Endpoint> target =
                mPolicy.hedgesByAge()
                        ? mBalancer.pickForLastRetry(failed.kind(), failed.tried(), nowMillis)
                        : mBalancer.pickForRetry(failed.kind(), failed.tried(), nowMillis);
        if (target.isEmpty()) {
            return new Stop(StopReason.NO_TARGET);
        }
        mBudget.onExtraAttempt(nowMillis);
        mBalancer.acquire(target.get(), failed.kind().bulky(), nowMillis);
        return new Retry(target.get());
    }

    /**
     * Takes a retry from the budget for a request that is retried at a target which another VM
     * picks.
     *
     * @param failed the failed attempt
     * @param overloaded whether requests of the service are queued
     * @param nowMillis the current time, in milliseconds
     * @return whether the request may be retried
     */
    public boolean tryTake(FailedAttempt failed, boolean overloaded, long nowMillis) {
        if (stopReason(failed, overloaded, nowMillis).isPresent()) {
            return false;
        }
        mBudget.onExtraAttempt(nowMillis);
        return true;
    }

    /**
     * Takes a retry from the budget for a request that is queued again, because no target has a
     * free slot for it or others are queued.
     *
     * <p>A read with most of its time left loses less by waiting than by failing, and the queue
     * respects the slots. The budget bounds what such retries add to an overload.
     *
     * @param failed the failed attempt
     * @param nowMillis the current time, in milliseconds
     * @return whether the request may be queued
     */
    public boolean tryTakeQueued(FailedAttempt failed, long nowMillis) {
        long usableMillis = failed.kind().deadline().toMillis() / 2;
        boolean hasTime = failed.deadlineMillis() - nowMillis >= usableMillis;
        boolean isRead = failed.kind().idempotency().isRepeatable();
        return mPolicy.hedgesByAge() && isRead && hasTime && tryTake(failed, false, nowMillis);
    }

    /**
     * Takes an attempt from the budget for a request that is queued again, because it arrived at an
     * instance that another one had replaced, which did not run it.
     *
     * @param failed the failed attempt
     * @param nowMillis the current time, in milliseconds
     * @return whether the request may be queued
     */
    public boolean tryTakeAfterReplaced(FailedAttempt failed, long nowMillis) {
        return tryTake(failed, false, nowMillis);
    }

    /** Returns why a retry isn't allowed now, at whichever target; empty if it is. */
    private Optional<StopReason> stopReason(
            FailedAttempt failed, boolean overloaded, long nowMillis) {
        Optional<StopReason> prohibition = prohibition(failed);
        if (prohibition.isPresent()) {
            return prohibition;
        }
        long meanMillis = Math.max(1, mTimes.meanMillis(failed.kind()));
        if (failed.deadlineMillis() - nowMillis < meanMillis) {
            return Optional.of(StopReason.TOO_LATE);
        }
        if (overloaded) {
            return Optional.of(StopReason.OVERLOADED);
        }
        return mBudget.hasRemaining(failed.kind(), nowMillis)
                ? Optional.empty()
                : Optional.of(StopReason.BUDGET_EXHAUSTED);
    }

    /**
     * Returns why a retry is prohibited regardless of the load; empty if it isn't.
     *
     * <p>Prevents a request from running twice: an at-most-once kind is retried only if no attempt
     * has run.
     */
    private static Optional<StopReason> prohibition(FailedAttempt failed) {
        if (!failed.failure().isCallerWaiting()) {
            return Optional.of(StopReason.CALLER_GONE);
        }
        boolean mayHaveRun = failed.mayHaveRun() || failed.failure().mayHaveRun();
        if (mayHaveRun && !failed.kind().idempotency().isRepeatable()) {
            return Optional.of(StopReason.MAY_HAVE_RUN);
        }
        if (!(failed.kind().retryShare() > 0)) {
            return Optional.of(StopReason.NOT_RETRYABLE);
        }
        if (failed.attempts() >= MAX_ATTEMPTS) {
            return Optional.of(StopReason.ATTEMPTS_EXHAUSTED);
        }
        return Optional.empty();
    }
}
