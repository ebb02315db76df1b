package org.dahliapass.gateway;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.routing.RequestClass;
import org.dahliapass.model.routing.RequestLimits;
import org.dahliapass.model.routing.RouteRule;

/** Converts routes to the request kinds of the traffic decisions. */
final class RequestKinds {
    /** The share of the latency objective after which a hedge is sent. */
    private static final double HEDGE_AFTER_SHARE = 0.6;

    /** The share of the timeout that a request may wait for a slot; later it can't be served. */
    private static final double MAX_QUEUE_SHARE = 0.6;

    /** The success objective of the error budget for routes without one. */
    private static final double SUCCESS_OBJECTIVE = 0.99;

    private RequestKinds() {}

    /** Returns the request kind of a route. */
    static RequestKind of(RouteRule route, RequestLimits limits, double retryShare) {
        RequestClass requestClass = route.requestClass();
        Duration hedgeAfter =
                requestClass.idempotency().isRepeatable() && route.maxTargets() > 1
                        ? scaled(route.objective(), HEDGE_AFTER_SHARE)
                        : Duration.ZERO;
        return new RequestKind(
                name(requestClass),
                "*",
                route.prefix(),
                true,
                requestClass.idempotency(),
                route.timeout(),
                scaled(route.timeout(), MAX_QUEUE_SHARE),
                route.objective(),
                limits.bodyBytes(),
                0,
                retryShare,
                hedgeAfter,
                requestClass.bulky(),
                SUCCESS_OBJECTIVE);
    }

    /** Returns the request kinds of a service, one for each class of requests. */
    static List<RequestKind> of(List<RouteRule> routes, RequestLimits limits, double retryShare) {
        return Arrays.stream(RequestClass.values())
                .flatMap(
                        requestClass ->
                                routes.stream()
                                        .filter(route -> route.requestClass() == requestClass)
                                        .limit(1))
                .map(route -> of(route, limits, retryShare))
                .toList();
    }

    private static String name(RequestClass requestClass) {
        return requestClass.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static Duration scaled(Duration duration, double share) {
        return Duration.ofMillis(Math.round(duration.toMillis() * share));
    }
}
