package org.dahliapass.entry;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.model.RequestKind;
import org.dahliapass.traffic.ServiceRuntime;

/** Matches callers' requests with templates and dispatches them. */
final class CallerRequestHandler implements HttpService {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final Clock mClock;
    private final RequestIdGenerator mIds;
    private final Readiness mReadiness;
    private final ConfigurationService mConfiguration;
    private final ServiceTable mServices;
    private final Forwarder mForwarder;
    private final RequestDispatcher mDispatcher;

    CallerRequestHandler(
            Clock clock,
            RequestIdGenerator ids,
            Readiness readiness,
            ConfigurationService configuration,
            ServiceTable services,
            Forwarder forwarder,
            RequestDispatcher dispatcher) {
        mClock = clock;
        mIds = ids;
        mReadiness = readiness;
        mConfiguration = configuration;
        mServices = services;
        mForwarder = forwarder;
        mDispatcher = dispatcher;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        context.clearRequestTimeout();
        String id = mIds.next();
        Optional<Refusal> refusal = mReadiness.refusal();
        if (refusal.isPresent()) {
            return refuse(request, id, refusal.get());
        }
        Optional<ServicePath> path = ServicePath.parse(request.path());
        if (path.isEmpty()) {
            return refuse(
                    request, id, RefusalCode.NO_SUCH_SERVICE, "Use /services/CUSTOMER/SERVICE/...");
        }
        return route(context, request, id, path.get());
    }

    private HttpResponse route(
            ServiceRequestContext context, HttpRequest request, String id, ServicePath path) {
        Optional<Route> found = mConfiguration.table().find(path.customer(), path.service());
        if (found.isEmpty()) {
            return mForwarder
                    .forwardToCell(request, path)
                    .orElseGet(
                            () ->
                                    refuse(
                                            request,
                                            id,
                                            RefusalCode.NO_SUCH_SERVICE,
                                            noSuchService(path)));
        }
        Route route = found.get();
        Optional<RequestKind> kind = route.kindOf(request.method().name(), path.path());
        if (kind.isEmpty()) {
            return refuse(request, id, RefusalCode.NO_SUCH_KIND, noSuchKind(request, path));
        }
        Optional<ServiceRuntime> runtime = mServices.find(route.provided().id());
        if (runtime.isEmpty()) {
            return mForwarder
                    .forwardToCell(request, path)
                    .orElseGet(() -> refuse(request, id, RefusalCode.WRONG_VM, "Ask again."));
        }
        // 0 would mean "no limit" here; the exact limit is checked after aggregation.
        context.setMaxRequestLength(kind.get().maximumBodyBytes() + 1);
        CompletableFuture<HttpResponse> response =
                request.aggregate()
                        .handle(
                                (message, failure) ->
                                        failure != null
                                                ? refuse(
                                                        request,
                                                        id,
                                                        RefusalCode.BODY_TOO_LARGE,
                                                        "The body didn't arrive whole: "
                                                                + failure.getMessage())
                                                : serve(
                                                        request,
                                                        id,
                                                        route,
                                                        kind.get(),
                                                        path,
                                                        message));
        return HttpResponse.of(response);
    }

    private HttpResponse serve(
            HttpRequest request,
            String id,
            Route route,
            RequestKind kind,
            ServicePath path,
            AggregatedHttpRequest message) {
        if (message.content().length() > kind.maximumBodyBytes()) {
            return refuse(
                    request, id, RefusalCode.BODY_TOO_LARGE, "The template allows a smaller body.");
        }
        long now = mClock.millis();
        long timeoutMillis = timeoutMillis(message, kind.deadline().toMillis());
        CallerRequest matched =
                new CallerRequest(
                        id, route, kind, path.pathAndQuery(), message, now, now + timeoutMillis);
        return mDispatcher.dispatch(matched);
    }

    private static long timeoutMillis(AggregatedHttpRequest message, long maxMillis) {
        String text = message.headers().get(CallerHeaders.REQUEST_TIMEOUT);
        if (text == null) {
            return maxMillis;
        }
        try {
            return Math.max(1, Math.min(maxMillis, Long.parseLong(text)));
        } catch (NumberFormatException expected) {
            return maxMillis;
        }
    }

    private static HttpResponse refuse(
            HttpRequest request, String id, RefusalCode code, String message) {
        return refuse(request, id, Refusal.of(code, message, RETRY_AFTER_MILLIS));
    }

    /**
     * Refuses a request before its idempotency key is processed.
     *
     * <p>The outcome of a request with a key is "unknown": the key may have run through another VM,
     * and on "not run" the caller would send the operation again under a new key.
     */
    private static HttpResponse refuse(HttpRequest request, String id, Refusal refusal) {
        boolean keyed = request.headers().contains(CallerHeaders.IDEMPOTENCY_KEY);
        return keyed ? refusal.toResponseWithUnknownOutcome(id) : refusal.toResponse(id);
    }

    private static String noSuchService(ServicePath path) {
        return "Customer '" + path.customer() + "' has no service '" + path.service() + "'.";
    }

    private static String noSuchKind(HttpRequest request, ServicePath path) {
        return "The template of '"
                + path.customer()
                + "' has no kind for "
                + request.method()
                + " "
                + path.path()
                + ".";
    }
}
