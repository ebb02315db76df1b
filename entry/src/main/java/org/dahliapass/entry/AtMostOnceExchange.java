package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.time.Clock;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.dahliapass.decisions.once.BeginResult;
import org.dahliapass.decisions.once.HomeAction;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OperationAnswer;
import org.dahliapass.decisions.once.RecordedResult;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.traffic.ServiceRuntime;

/**
 * An exchange for a request that must run at most once, run by the home VM of its key.
 *
 * <p>A slot is acquired only after the witness has recorded the intent. An earlier refusal would
 * say "not run" although another request with the same key may run. The operation continues if the
 * caller disconnects, so that its result can be queried by key.
 */
final class AtMostOnceExchange {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final CallerRequest mRequest;
    private final Operation mOperation;
    private final ServiceRuntime mRuntime;
    private final TargetClients mClients;
    private final Clock mClock;
    private final AtMostOnceService mOperations;
    private final CallerResponder mResponder;
    private final Supplier<String> mTokenSupplier;
    private final CompletableFuture<HttpResponse> mResponse = new CompletableFuture<>();
    private final Set<Endpoint> mTriedTargets = new HashSet<>();
    private volatile long mRetryAfterMillis = RETRY_AFTER_MILLIS;

    AtMostOnceExchange(
            CallerRequest request,
            Operation operation,
            ServiceRuntime runtime,
            TargetClients clients,
            Clock clock,
            AtMostOnceService operations,
            CallerResponder responder,
            Supplier<String> token) {
        mRequest = request;
        mOperation = operation;
        mRuntime = runtime;
        mClients = clients;
        mClock = clock;
        mOperations = operations;
        mResponder = responder;
        mTokenSupplier = token;
    }

    /** Continues from the home ledger's decision and returns the caller's response. */
    HttpResponse start(BeginResult beginResult) {
        if (beginResult instanceof BeginResult.Answered answered) {
            return respond(answered.answer());
        }
        BeginResult.SendIntent intent = (BeginResult.SendIntent) beginResult;
        Futures.whenDone(mOperations.requestIntent(intent.witness(), mOperation), this::onAction);
        return HttpResponse.of(mResponse);
    }

    private void onAction(HomeAction action, Throwable failure) {
        if (failure != null) {
            mResponse.complete(refuse(RefusalCode.OPERATION_UNKNOWN, failure.getMessage()));
            return;
        }
        if (action instanceof HomeAction.Dispatch dispatch) {
            dispatch(dispatch.attempt());
        } else if (action instanceof HomeAction.Respond respond) {
            mResponse.complete(respond(respond.answer()));
        }
    }

    private void dispatch(int attempt) {
        TargetAttempt next = new TargetAttempt(mRequest, mRuntime, mClients, mClock);
        Futures.whenDone(
                next.start(mRuntime.acquire(mRequest, mTriedTargets)),
                (result, failure) -> onAttemptResult(attempt, result));
    }

    private void onAttemptResult(int attempt, AttemptResult result) {
        if (result instanceof AttemptResult.Responded responded) {
            mResponse.complete(relay(attempt, responded));
        } else if (result instanceof AttemptResult.Refused refused) {
            mRetryAfterMillis = refused.refusal().retryAfterMillis();
            Futures.whenDone(mOperations.targetRefused(mOperation, attempt, false), this::onAction);
        } else if (result instanceof AttemptResult.Failed failed && !failed.kind().mayHaveRun()) {
            mTriedTargets.add(failed.target());
            Futures.whenDone(mOperations.targetRefused(mOperation, attempt, true), this::onAction);
        } else {
            Futures.whenDone(mOperations.responseLost(mOperation, attempt), this::onAction);
        }
    }

    private HttpResponse relay(int attempt, AttemptResult.Responded responded) {
        ResultRecorder recorder = new ResultRecorder(responded.headers());
        StreamMessage<HttpData> body = responded.body().peek(recorder::add);
        HttpResponse response =
                mResponder.relay(
                        mRequest,
                        new AttemptResult.Responded(responded.target(), responded.headers(), body));
        Futures.whenDone(
                response.whenComplete(),
                (ignored, failure) -> finish(attempt, recorder.result(failure == null)));
        return response;
    }

    private void finish(int attempt, RecordedResult result) {
        Futures.whenDone(
                mOperations.finished(mOperation, attempt, result), (ignoredAction, ignored) -> {});
    }

    private HttpResponse respond(OperationAnswer answer) {
        if (answer instanceof OperationAnswer.Result result) {
            return replay(result.result());
        }
        Refusal refusal = refusal(answer, mTokenSupplier.get()).withRetryAfter(mRetryAfterMillis);
        return mResponder.refuse(mRequest, refusal);
    }

    private HttpResponse replay(RecordedResult result) {
        mResponder.onReplayed(mRequest);
        return replayResponse(mRequest.id(), result);
    }

    /** Returns the response for a recorded result; a header tells whether the body was kept. */
    static HttpResponse replayResponse(String requestId, RecordedResult result) {
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(result.status())
                        .set(CallerHeaders.REQUEST_ID, requestId)
                        .set(CallerHeaders.OUTCOME, "ran")
                        .set(CallerHeaders.REPLAYED, result.body().isPresent() ? "whole" : "head");
        result.headers().forEach(header -> headers.add(header.name(), header.value()));
        byte[] body = result.body().map(kept -> kept.toByteArray()).orElse(new byte[0]);
        return HttpResponse.of(headers.build(), HttpData.wrap(body));
    }

    /** Returns the refusal for an answer that is not a result. */
    static Refusal refusal(OperationAnswer answer, String token) {
        if (answer instanceof OperationAnswer.NotRun notRun) {
            String message =
                    "The operation did not run and never will under this key: "
                            + notRun.reason().explanation()
                            + ". Send it again under a new key.";
            return Refusal.of(RefusalCode.OPERATION_NOT_RUN, message, RETRY_AFTER_MILLIS)
                    .withToken(token);
        }
        if (answer instanceof OperationAnswer.InProgress) {
            return Refusal.of(
                    RefusalCode.IN_PROGRESS,
                    "The operation is running. Ask again by the same key.",
                    RETRY_AFTER_MILLIS);
        }
        if (answer instanceof OperationAnswer.Mismatch) {
            return Refusal.of(RefusalCode.KEY_MISMATCH, "The key belongs to another request.", 0);
        }
        OperationAnswer.Unknown unknown = (OperationAnswer.Unknown) answer;
        return Refusal.of(
                RefusalCode.OPERATION_UNKNOWN,
                "Whether the operation ran can't be told now ("
                        + unknown.reason()
                        + "). Don't send it under a new key; ask for this one by GET"
                        + " /outcomes/CUSTOMER/KEY.",
                RETRY_AFTER_MILLIS);
    }

    private HttpResponse refuse(RefusalCode code, String message) {
        return mResponder.refuse(mRequest, Refusal.of(code, message, RETRY_AFTER_MILLIS));
    }
}
