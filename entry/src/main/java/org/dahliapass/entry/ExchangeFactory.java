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

/** Chooses the exchange that serves a matched request. */
final class ExchangeFactory {
    private final Clock mClock;
    private final ControlLoop mLoop;
    private final TargetClients mClients;
    private final ServiceTable mServices;
    private final OnceService mOnce;
    private final Tokens mTokens;
    private final Forwarder mForwarder;
    private final AnswerObserver mObserver;

    ExchangeFactory(
            Clock clock,
            ControlLoop loop,
            TargetClients clients,
            ServiceTable services,
            OnceService once,
            Tokens tokens,
            Forwarder forwarder,
            AnswerObserver observer) {
        mClock = clock;
        mLoop = loop;
        mClients = clients;
        mServices = services;
        mOnce = once;
        mTokens = tokens;
        mForwarder = forwarder;
        mObserver = observer;
    }

    /** Serves a request. */
    HttpResponse serve(CallerRequest request) {
        if (request.kind().idempotency() == Idempotency.AT_MOST_ONCE) {
            return serveGuarded(request);
        }
        ServiceRuntime runtime = runtime(request);
        return new IdempotentExchange(request, runtime, mClients, mLoop, mClock, mObserver).start();
    }

    private ServiceRuntime runtime(CallerRequest request) {
        return mServices.find(request.route().provided().id()).orElseThrow();
    }

    private HttpResponse serveGuarded(CallerRequest request) {
        String text = request.message().headers().get(CallerHeaders.IDEMPOTENCY_KEY);
        Optional<OperationKey> key =
                text == null ? Optional.empty() : OperationKey.parse(unquoted(text));
        if (key.isEmpty()) {
            return mObserver.refuse(request, keyRequired());
        }
        Operation operation = new Operation(request.route().customer(), key.get());
        return HttpResponse.of(
                mOnce.begin(operation, digest(request), request.deadlineMillis())
                        .thenApply(beginning -> goOn(request, operation, beginning)));
    }

    private HttpResponse goOn(CallerRequest request, Operation operation, BeginResult beginning) {
        if (beginning instanceof BeginResult.WrongHome) {
            return HttpResponse.of(
                    mForwarder
                            .toHome(request, operation)
                            .thenCompose(
                                    forwarded ->
                                            forwarded.isPresent()
                                                    ? CompletableFuture.completedFuture(
                                                            forwarded.get())
                                                    : askWitness(request, operation)));
        }
        return new GuardedExchange(
                        request,
                        operation,
                        runtime(request),
                        mClients,
                        mClock,
                        mOnce,
                        mObserver,
                        mTokens::forSelf)
                .start(beginning);
    }

    private CompletableFuture<HttpResponse> askWitness(CallerRequest request, Operation operation) {
        return mOnce.resolveAfterHome(operation)
                .thenApply(
                        answer ->
                                answer instanceof OperationAnswer.Result result
                                        ? replay(request, result)
                                        : mObserver.refuse(
                                                request,
                                                GuardedExchange.refusal(
                                                        answer, mTokens.forSelf())));
    }

    private HttpResponse replay(CallerRequest request, OperationAnswer.Result result) {
        mObserver.onReplayed(request);
        return GuardedExchange.replayed(request.id(), result.result());
    }

    private Refusal keyRequired() {
        String message =
                "This kind runs at most once. Send an Idempotency-Key header: the token of an ask,"
                        + " a dot, and a part of your own that is unique to the operation.";
        return Refusal.of(RefusalCode.KEY_REQUIRED, message, 0).withToken(mTokens.forSelf());
    }

    private static String unquoted(String text) {
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
            throw new IllegalStateException("Every Java runtime has SHA-256", failure);
        }
    }
}
