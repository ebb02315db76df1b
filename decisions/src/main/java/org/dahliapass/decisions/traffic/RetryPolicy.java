package org.dahliapass.decisions.traffic;

import java.util.Optional;
import org.dahliapass.decisions.traffic.RetryDecision.Retry;
import org.dahliapass.decisions.traffic.RetryDecision.Stop;
import org.dahliapass.decisions.traffic.RetryDecision.StopReason;
import org.dahliapass.model.Endpoint;

/**
 * Decides whether a request whose try failed is tried again, and where.
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. A
 * call costs O(targets).
 */
public final class RetryPolicy {
    private static final int MOST_TRIES = 3;

    private final RetryBudget mBudget;
    private final LoadBalancer mBalancer;
    private final SlotTable mSlots;
    private final ServiceTimeEstimator mTimes;

    /**
     * Joins what a decision needs.
     *
     * @param budget the service's further tries
     * @param balancer picks the targets
     * @param slots the slots of the service
     * @param times how long answers take
     */
    public RetryPolicy(
            RetryBudget budget,
            LoadBalancer balancer,
            SlotTable slots,
            ServiceTimeEstimator times) {
        mBudget = budget;
        mBalancer = balancer;
        mSlots = slots;
        mTimes = times;
    }

    /**
     * Decides on a request whose last try failed and of which no other try is in flight.
     *
     * @param failed the failed try
     * @param overloaded whether requests of the service wait for slots
     * @param nowMillis the time, in milliseconds
     */
    public RetryDecision decide(FailedAttempt failed, boolean overloaded, long nowMillis) {
        Optional<StopReason> forbidden = forbidden(failed);
        if (forbidden.isPresent()) {
            return new Stop(forbidden.get());
        }
        long typicalMillis = Math.max(1, mTimes.meanMillis(failed.kind()));
        if (failed.deadlineMillis() - nowMillis < typicalMillis) {
            return new Stop(StopReason.TOO_LATE);
        }
        if (overloaded) {
            return new Stop(StopReason.OVERLOADED);
        }
        if (!mBudget.hasRemaining(failed.kind(), nowMillis)) {
            return new Stop(StopReason.BUDGET_EXHAUSTED);
        }
        Optional<Endpoint> target =
                mBalancer.pickForRetry(failed.kind(), failed.tried(), nowMillis);
        if (target.isEmpty()) {
            return new Stop(StopReason.NO_TARGET);
        }
        mBudget.onExtraAttempt(nowMillis);
        mSlots.acquire(target.get(), failed.kind().bulky());
        return new Retry(target.get());
    }

    /**
     * Returns why a further try is out of the question whatever the load.
     *
     * <p>Guards against a request that runs twice: the first target worked on it and only its
     * answer was lost. A guarded kind goes on only if every try is proved not to have run.
     */
    private static Optional<StopReason> forbidden(FailedAttempt failed) {
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
        if (failed.attempts() >= MOST_TRIES) {
            return Optional.of(StopReason.ATTEMPTS_EXHAUSTED);
        }
        return Optional.empty();
    }
}
