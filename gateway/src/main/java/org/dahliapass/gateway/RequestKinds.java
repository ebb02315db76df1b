package org.dahliapass.gateway;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.routing.RequestClass;
import org.dahliapass.model.routing.RequestLimits;
import org.dahliapass.model.routing.RouteRule;

/** Turns routes into the request kinds that the traffic decisions know. */
final class RequestKinds {
    /** A hedge starts when an answer has used this share of its objective. */
    private static final double HEDGE_AFTER_SHARE = 0.6;

    /**
     * A request may wait for a slot for this share of its timeout; after it there is no time left.
     */
    private static final double PATIENCE_SHARE = 0.6;

    /** The share of good answers that the burn report expects where the operator names none. */
    private static final double OBJECTIVE = 0.99;

    private RequestKinds() {}

    /** Returns the kind of a route's requests. */
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
                scaled(route.timeout(), PATIENCE_SHARE),
                route.objective(),
                limits.bodyBytes(),
                0,
                retryShare,
                hedgeAfter,
                requestClass.bulky(),
                OBJECTIVE);
    }

    /** Returns the kinds that a service is sent, one for each class of requests. */
    static List<RequestKind> of(List<RouteRule> routes, RequestLimits limits, double retryShare) {
        return Arrays.stream(RequestClass.values())
                .flatMap(
                        wanted ->
                                routes.stream()
                                        .filter(route -> route.requestClass() == wanted)
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
