package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpResponse;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.traffic.FailedAttempt;
import org.dahliapass.decisions.traffic.FailureKind;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.traffic.ServiceRuntime;
import org.dahliapass.traffic.Slot;

/**
 * Serves one idempotent request: first try, retries out of the budget, at most one hedge; the first
 * answer wins and the other tries are cancelled.
 */
final class IdempotentExchange {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final int SERVER_ERROR = 500;
    private static final int MOST_TRIES = 3;

    private final CallerRequest mRequest;
    private final ServiceRuntime mRuntime;
    private final TargetClients mClients;
    private final Clock mClock;
    private final ControlLoop mLoop;
    private final AnswerObserver mObserver;
    private final CompletableFuture<HttpResponse> mAnswer = new CompletableFuture<>();
    private final List<TargetTry> mRunning = new ArrayList<>();
    private Set<Endpoint> mTried = Set.of();
    private int mTries;
    private int mOpen;
    private boolean mHedged;
    private boolean mDone;

    IdempotentExchange(
            CallerRequest request,
            ServiceRuntime runtime,
            TargetClients clients,
            ControlLoop loop,
            Clock clock,
            AnswerObserver observer) {
        mRequest = request;
        mRuntime = runtime;
        mClients = clients;
        mLoop = loop;
        mClock = clock;
        mObserver = observer;
    }

    /** Starts the exchange and returns the caller's answer. */
    synchronized HttpResponse start() {
        startTry(mRuntime.acquire(mRequest, mTried));
        if (!mRequest.kind().hedgeAfter().isZero()) {
            mLoop.schedule(mRequest.kind().hedgeAfter(), this::hedge);
        }
        HttpResponse response = HttpResponse.of(mAnswer);
        Futures.whenDone(response.whenComplete(), (ignored, failure) -> onCallerDone(failure));
        return response;
    }

    private void startTry(CompletableFuture<Slot> slot) {
        TargetTry next = new TargetTry(mRequest, mRuntime, mClients, mClock);
        mTries++;
        mOpen++;
        mRunning.add(next);
        Futures.whenDone(next.start(slot), (result, failure) -> onResult(next, result, failure));
    }

    private synchronized void hedge() {
        if (mDone || mHedged || mOpen != 1) {
            return;
        }
        Optional<Slot> slot = mRuntime.hedge(mRequest, inFlightTargets());
        if (slot.isEmpty()) {
            return;
        }
        mHedged = true;
        startTry(CompletableFuture.completedFuture(slot.get()));
    }

    private synchronized void onResult(TargetTry from, TryResult result, Throwable failure) {
        mOpen--;
        mRunning.remove(from);
        if (mDone) {
            discard(result);
            return;
        }
        if (failure != null) {
            finish(refuse(RefusalCode.TARGET_FAILED, failure.toString()));
            return;
        }
        if (result instanceof TryResult.Answered answered) {
            onAnswered(answered);
        } else if (result instanceof TryResult.Refused refused) {
            onRefused(refused);
        } else if (result instanceof TryResult.Failed failed) {
            onFailed(failed);
        }
    }

    private void onAnswered(TryResult.Answered answered) {
        boolean error = answered.headers().status().code() >= SERVER_ERROR;
        if (error && retry(answered.target(), FailureKind.SERVER_ERROR)) {
            answered.body().abort();
            return;
        }
        finish(mObserver.passOn(mRequest, answered));
    }

    private void onRefused(TryResult.Refused refused) {
        if (mOpen == 0) {
            finish(mObserver.refuse(mRequest, refused.refusal()));
        }
    }

    private void onFailed(TryResult.Failed failed) {
        if (retry(failed.target(), failed.kind()) || mOpen > 0 || waitAgain(failed.kind())) {
            return;
        }
        RefusalCode reason =
                switch (failed.kind()) {
                    case TIMED_OUT -> RefusalCode.DEADLINE_EXCEEDED;
                    case CONNECT_FAILED, REFUSED_NOT_PROCESSED -> RefusalCode.NO_TARGET;
                    default -> RefusalCode.TARGET_FAILED;
                };
        finish(refuse(reason, "Step send at " + failed.target() + ": " + failed.message()));
    }

    private boolean retry(Endpoint target, FailureKind kind) {
        mTried = TryResult.join(mTried, target);
        FailedAttempt failed =
                new FailedAttempt(
                        mRequest.kind(), kind, true, mTried, mTries, mRequest.deadlineMillis());
        Optional<Slot> slot = mOpen > 0 ? Optional.empty() : mRuntime.retry(mRequest, failed);
        slot.ifPresent(found -> startTry(CompletableFuture.completedFuture(found)));
        return slot.isPresent();
    }

    /** Puts a request back into the queue whose try ran nothing; false if it tried often enough. */
    private boolean waitAgain(FailureKind kind) {
        if (kind.mayHaveRun() || mTries >= MOST_TRIES) {
            return false;
        }
        startTry(mRuntime.reacquire(mRequest, mTried));
        return true;
    }

    private Set<Endpoint> inFlightTargets() {
        Set<Endpoint> targets = new HashSet<>(mTried);
        mRunning.forEach(running -> running.target().ifPresent(targets::add));
        return targets;
    }

    private HttpResponse refuse(RefusalCode reason, String message) {
        return mObserver.refuse(mRequest, Refusal.of(reason, message, RETRY_AFTER_MILLIS));
    }

    private void finish(HttpResponse response) {
        mDone = true;
        mAnswer.complete(response);
        new ArrayList<>(mRunning).forEach(TargetTry::cancel);
    }

    private synchronized void onCallerDone(Throwable failure) {
        if (failure == null) {
            return;
        }
        mDone = true;
        mObserver.onCallerGone(mRequest);
        new ArrayList<>(mRunning).forEach(TargetTry::cancel);
    }

    private static void discard(TryResult result) {
        if (result instanceof TryResult.Answered answered) {
            answered.body().abort();
        }
    }
}
