package org.dahliapass.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.dahliapass.decisions.traffic.FailureKind;

/** The attempts of one request that have not ended. Confined to the traffic thread. */
final class RunningAttempts {
    private final ExchangeLog mLog;
    private final List<Attempt> mAttempts = new ArrayList<>();
    private boolean mHasSent;

    RunningAttempts(ExchangeLog log) {
        mLog = log;
    }

    void add(Attempt attempt) {
        mAttempts.add(attempt);
    }

    /** Removes an attempt that has ended; returns false if it was aborted before. */
    boolean remove(Attempt attempt) {
        mHasSent |= attempt.isSent();
        return mAttempts.remove(attempt);
    }

    boolean isEmpty() {
        return mAttempts.isEmpty();
    }

    int count() {
        return mAttempts.size();
    }

    /** Returns the number of attempts of which bytes may have been received. */
    int sentCount() {
        return (int) mAttempts.stream().filter(Attempt::isSent).count();
    }

    /** Returns whether bytes of any attempt, running or ended, may have been received. */
    boolean hasSent() {
        return mHasSent || sentCount() > 0;
    }

    /** Returns whether another VM is asked to serve the request. */
    boolean isRelaying() {
        return mAttempts.stream().anyMatch(RelayAttempt.class::isInstance);
    }

    /** Returns the first attempt at a target of this VM; empty if there is none. */
    Optional<TargetAttempt> atTarget() {
        return mAttempts.stream()
                .filter(TargetAttempt.class::isInstance)
                .map(TargetAttempt.class::cast)
                .findFirst();
    }

    /** Aborts all attempts. */
    void abort(FailureKind kind) {
        boolean unused = abort(attempt -> true, kind);
    }

    /** Cancels the attempts that meet a condition; returns whether there are any. */
    boolean cancel(Predicate<Attempt> condition) {
        return abort(condition, FailureKind.CANCELLED_BY_CALLER);
    }

    /** Aborts all attempts; an exception at one of them doesn't keep the others running. */
    private void abortAll(List<Attempt> attempts, FailureKind kind) {
        if (attempts.isEmpty()) {
            return;
        }
        Attempt first = attempts.get(0);
        try {
            first.abort(kind);
            mLog.add(first, "stopped: " + kind);
        } catch (RuntimeException | Error failure) {
            // To be aborted again, since it may hold its slot.
            mAttempts.add(first);
            throw failure;
        } finally {
            abortAll(attempts.subList(1, attempts.size()), kind);
        }
    }

    private boolean abort(Predicate<Attempt> condition, FailureKind kind) {
        List<Attempt> aborted = mAttempts.stream().filter(condition).toList();
        // Before they are aborted, which completes them at once.
        mAttempts.removeAll(aborted);
        for (Attempt attempt : aborted) {
            mHasSent |= attempt.isSent();
        }
        abortAll(aborted, kind);
        return !aborted.isEmpty();
    }
}
