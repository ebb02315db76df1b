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
 * An exchange for an idempotent request, with retries within the retry budget and at most one
 * hedge. The first response wins and the other attempts are cancelled.
 */
final class IdempotentExchange {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final int MIN_SERVER_ERROR = 500;
    private static final int MAX_ATTEMPTS = 3;

    private final CallerRequest mRequest;
    private final ServiceRuntime mRuntime;
    private final TargetClients mClients;
    private final Clock mClock;
    private final ControlLoop mLoop;
    private final CallerResponder mResponder;
    private final CompletableFuture<HttpResponse> mResponse = new CompletableFuture<>();
    private final List<TargetAttempt> mRunning = new ArrayList<>();
    private Set<Endpoint> mTriedTargets = Set.of();
    private int mAttempts;
    private int mInFlight;
    private boolean mHedged;
    private boolean mDone;

    IdempotentExchange(
            CallerRequest request,
            ServiceRuntime runtime,
            TargetClients clients,
            ControlLoop loop,
            Clock clock,
            CallerResponder responder) {
        mRequest = request;
        mRuntime = runtime;
        mClients = clients;
        mLoop = loop;
        mClock = clock;
        mResponder = responder;
    }

    /** Starts the exchange and returns the caller's response. */
    synchronized HttpResponse start() {
        startAttempt(mRuntime.acquire(mRequest, mTriedTargets));
        if (!mRequest.kind().hedgeAfter().isZero()) {
            mLoop.schedule(mRequest.kind().hedgeAfter(), this::hedge);
        }
        HttpResponse response = HttpResponse.of(mResponse);
        Futures.whenDone(response.whenComplete(), (ignored, failure) -> onCallerDone(failure));
        return response;
    }

    private void startAttempt(CompletableFuture<Slot> slot) {
        TargetAttempt next = new TargetAttempt(mRequest, mRuntime, mClients, mClock);
        mAttempts++;
        mInFlight++;
        mRunning.add(next);
        Futures.whenDone(next.start(slot), (result, failure) -> onResult(next, result, failure));
    }

    private synchronized void hedge() {
        if (mDone || mHedged || mInFlight != 1) {
            return;
        }
        Set<Endpoint> targets = inFlightTargets();
        Optional<Slot> slot =
                mRunning.get(0)
                        .slot()
                        .flatMap(
                                running ->
                                        mRuntime.hedge(
                                                mRequest,
                                                running,
                                                targets,
                                                targets.size(),
                                                mRuntime::onChargeSent));
        if (slot.isEmpty()) {
            return;
        }
        mHedged = true;
        startAttempt(CompletableFuture.completedFuture(slot.get()));
    }

    private synchronized void onResult(
            TargetAttempt from, AttemptResult result, Throwable failure) {
        mInFlight--;
        mRunning.remove(from);
        if (mDone) {
            discard(result);
            return;
        }
        if (failure != null) {
            finish(refuse(RefusalCode.TARGET_FAILED, failure.toString()));
            return;
        }
        if (result instanceof AttemptResult.Responded responded) {
            onResponse(responded);
        } else if (result instanceof AttemptResult.Refused refused) {
            onRefused(refused);
        } else if (result instanceof AttemptResult.Failed failed) {
            onFailed(failed);
        }
    }

    private void onResponse(AttemptResult.Responded responded) {
        boolean error = responded.headers().status().code() >= MIN_SERVER_ERROR;
        if (error && retry(responded.target(), FailureKind.SERVER_ERROR)) {
            responded.body().abort();
            return;
        }
        finish(mResponder.relay(mRequest, responded));
    }

    private void onRefused(AttemptResult.Refused refused) {
        if (mInFlight == 0) {
            finish(mResponder.refuse(mRequest, refused.refusal()));
        }
    }

    private void onFailed(AttemptResult.Failed failed) {
        if (retry(failed.target(), failed.kind()) || mInFlight > 0 || requeue(failed.kind())) {
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
        mTriedTargets = AttemptResult.union(mTriedTargets, target);
        FailedAttempt failed =
                new FailedAttempt(
                        mRequest.kind(),
                        kind,
                        true,
                        mTriedTargets,
                        mAttempts,
                        mRequest.deadlineMillis());
        Optional<Slot> slot =
                mInFlight > 0
                        ? Optional.empty()
                        : mRuntime.retry(mRequest, failed, mRuntime::onChargeSent);
        slot.ifPresent(found -> startAttempt(CompletableFuture.completedFuture(found)));
        return slot.isPresent();
    }

    /** Queues the request again if its attempt did not run; false at the attempt limit. */
    private boolean requeue(FailureKind kind) {
        if (kind.mayHaveRun() || mAttempts >= MAX_ATTEMPTS) {
            return false;
        }
        startAttempt(mRuntime.reacquire(mRequest, mTriedTargets));
        return true;
    }

    private Set<Endpoint> inFlightTargets() {
        Set<Endpoint> targets = new HashSet<>(mTriedTargets);
        mRunning.forEach(running -> running.target().ifPresent(targets::add));
        return targets;
    }

    private HttpResponse refuse(RefusalCode reason, String message) {
        return mResponder.refuse(mRequest, Refusal.of(reason, message, RETRY_AFTER_MILLIS));
    }

    private void finish(HttpResponse response) {
        mDone = true;
        mResponse.complete(response);
        new ArrayList<>(mRunning).forEach(TargetAttempt::cancel);
    }

    private synchronized void onCallerDone(Throwable failure) {
        if (failure == null) {
            return;
        }
        mDone = true;
        mResponder.onCallerGone(mRequest);
        new ArrayList<>(mRunning).forEach(TargetAttempt::cancel);
    }

    private static void discard(AttemptResult result) {
        if (result instanceof AttemptResult.Responded responded) {
            responded.body().abort();
        }
    }
}
