package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Clock;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.once.BeginResult;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OperationAnswer;
import org.dahliapass.decisions.once.OperationKey;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.model.Idempotency;
import org.dahliapass.traffic.ServiceRuntime;

/** Dispatches requests to the exchange for their kind. */
final class RequestDispatcher {
    private final Clock mClock;
    private final ControlLoop mLoop;
    private final TargetClients mClients;
    private final ServiceTable mServices;
    private final AtMostOnceService mOperations;
    private final TokenIssuer mTokenIssuer;
    private final Forwarder mForwarder;
    private final CallerResponder mResponder;

    RequestDispatcher(
            Clock clock,
            ControlLoop loop,
            TargetClients clients,
            ServiceTable services,
            AtMostOnceService operations,
            TokenIssuer tokenIssuer,
            Forwarder forwarder,
            CallerResponder responder) {
        mClock = clock;
        mLoop = loop;
        mClients = clients;
        mServices = services;
        mOperations = operations;
        mTokenIssuer = tokenIssuer;
        mForwarder = forwarder;
        mResponder = responder;
    }

    /** Serves a request and returns its response. */
    HttpResponse dispatch(CallerRequest request) {
        if (request.kind().idempotency() == Idempotency.AT_MOST_ONCE) {
            return dispatchAtMostOnce(request);
        }
        ServiceRuntime runtime = runtime(request);
        return new IdempotentExchange(request, runtime, mClients, mLoop, mClock, mResponder)
                .start();
    }

    private ServiceRuntime runtime(CallerRequest request) {
        return mServices.find(request.route().provided().id()).orElseThrow();
    }

    private HttpResponse dispatchAtMostOnce(CallerRequest request) {
        String text = request.message().headers().get(CallerHeaders.IDEMPOTENCY_KEY);
        Optional<OperationKey> key =
                text == null ? Optional.empty() : OperationKey.parse(unquote(text));
        if (key.isEmpty()) {
            return mResponder.refuse(request, keyRequired());
        }
        Operation operation = new Operation(request.route().customer(), key.get());
        return HttpResponse.of(
                mOperations
                        .begin(operation, digest(request), request.deadlineMillis())
                        .thenApply(beginResult -> startExchange(request, operation, beginResult)));
    }

    private HttpResponse startExchange(
            CallerRequest request, Operation operation, BeginResult beginResult) {
        if (beginResult instanceof BeginResult.WrongHome) {
            return HttpResponse.of(
                    mForwarder
                            .forwardToHome(request, operation)
                            .thenCompose(
                                    forwarded ->
                                            forwarded.isPresent()
                                                    ? CompletableFuture.completedFuture(
                                                            forwarded.get())
                                                    : resolveWithoutHome(request, operation)));
        }
        return new AtMostOnceExchange(
                        request,
                        operation,
                        runtime(request),
                        mClients,
                        mClock,
                        mOperations,
                        mResponder,
                        mTokenIssuer::issueForSelf)
                .start(beginResult);
    }

    private CompletableFuture<HttpResponse> resolveWithoutHome(
            CallerRequest request, Operation operation) {
        return mOperations
                .resolveWithoutHome(operation)
                .thenApply(
                        answer ->
                                answer instanceof OperationAnswer.Result result
                                        ? replay(request, result)
                                        : mResponder.refuse(
                                                request,
                                                AtMostOnceExchange.refusal(
                                                        answer, mTokenIssuer.issueForSelf())));
    }

    private HttpResponse replay(CallerRequest request, OperationAnswer.Result result) {
        mResponder.onReplayed(request);
        return AtMostOnceExchange.replayResponse(request.id(), result.result());
    }

    private Refusal keyRequired() {
        String message =
                "This kind runs at most once. Send an Idempotency-Key header: the token of an ask,"
                        + " a dot, and a part of your own that is unique to the operation.";
        return Refusal.of(RefusalCode.KEY_REQUIRED, message, 0)
                .withToken(mTokenIssuer.issueForSelf());
    }

    private static String unquote(String text) {
        boolean quoted = text.length() > 1 && text.startsWith("\"") && text.endsWith("\"");
        return quoted ? text.substring(1, text.length() - 1) : text;
    }

    private static String digest(CallerRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(request.kind().method().getBytes(StandardCharsets.UTF_8));
            digest.update(request.path().getBytes(StandardCharsets.UTF_8));
            digest.update(request.message().content().array());
            return HexFormat.of().formatHex(digest.digest(), 0, 16);
        } catch (NoSuchAlgorithmException failure) {
            throw new IllegalStateException(
                    "SHA-256 is not available in this Java runtime", failure);
        }
    }
}
