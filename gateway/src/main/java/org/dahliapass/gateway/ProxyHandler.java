package org.dahliapass.gateway;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.util.AsciiString;
import java.time.Clock;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.decisions.routing.RouteTable;
import org.dahliapass.decisions.routing.ShareChooser;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.routing.RequestLimits;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.platform.TargetHeaders;

/** Matches callers' requests with routes and hands them to the exchange that serves them. */
final class ProxyHandler implements HttpService {
    private static final long STARTING_WAIT_MILLIS = 300;

    /**
     * The caller's time runs from its sending; this much goes for opening its connection and for
     * the two ways between it and this VM, 8 ms each at most in the deployments known.
     */
    private static final long WAY_BACK_MILLIS = 35;

    /** What a caller is taken to have left that doesn't say; most routes' timeouts are longer. */
    private static final long UNTOLD_PATIENCE_MILLIS = 1_000;

    /** The colon, the space and the line end of a header line, in bytes. */
    private static final int HEADER_LINE_EXTRA = 4;

    private final Clock mClock;
    private final GatewaySettings mSettings;
    private final GatewayState mState;
    private final StoreFollower mFollower;
    private final ServicePools mPools;
    private final ShareChooser mShares;
    private final TargetConnections mConnections;
    private final EventLog mLog;
    private final GatewayAnswers mAnswers;
    private final VmLoad mLoad;
    private RouteTable mRoutes;

    ProxyHandler(
            Clock clock,
            GatewaySettings settings,
            GatewayState state,
            StoreFollower follower,
            ServicePools pools,
            ShareChooser shares,
            TargetConnections connections,
            EventLog log,
            GatewayAnswers answers,
            VmLoad load) {
        mClock = clock;
        mSettings = settings;
        mState = state;
        mFollower = follower;
        mPools = pools;
        mShares = shares;
        mConnections = connections;
        mLog = log;
        mAnswers = answers;
        mLoad = load;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        context.clearRequestTimeout();
        mLoad.onRequest(context);
        if (mState.phase().closesConnections()) {
            Futures.whenDone(context.initiateConnectionShutdown(), (done, failure) -> {});
        }
        Optional<RouteTable> routes = mFollower.view().routes();
        if (!mState.phase().serves() || routes.isEmpty()) {
            return mAnswers.refused(STARTING_WAIT_MILLIS);
        }
        if (mLoad.isBehind()) {
            return refuseUnread(request);
        }
        noteRoutes(routes.get());
        String path = context.rawPath();
        Optional<RouteRule> route = routes.get().find(authority(request), pathOnly(path));
        if (route.isEmpty()) {
            return mAnswers.noRoute();
        }
        if (request.headers().get(TargetHeaders.ATTEMPT_ID) == null) {
            return mAnswers.noId();
        }
        long arrivalMillis = mClock.millis();
        RequestLimits limits = routes.get().configuration().limits();
        if (headBytes(request.headers()) > limits.headerBytes()) {
            return mAnswers.headTooLarge();
        }
        // 0 would mean "no limit" here, so one byte more is let through and checked below.
        context.setMaxRequestLength(limits.bodyBytes() + 1);
        return HttpResponse.of(
                request.aggregate()
                        .handle(
                                (message, failure) -> {
                                    if (failure != null
                                            || message.content().length() > limits.bodyBytes()) {
                                        return mAnswers.tooLarge();
                                    }
                                    return exchange(
                                            context,
                                            message,
                                            routes.get(),
                                            route.get(),
                                            path,
                                            arrivalMillis);
                                }));
    }

    /**
     * Refuses a request before any work is done on it, so that the caller may come back at another
     * VM while it has time, and this VM gets through what it has.
     */
    private HttpResponse refuseUnread(HttpRequest request) {
        long left = patience(request.headers(), UNTOLD_PATIENCE_MILLIS);
        long wait = mAnswers.comeBackMillis(left);
        mLog.write(
                EventLog.Kind.REQUEST,
                "request_refused_unread",
                line ->
                        line.put("id", request.headers().get(TargetHeaders.ATTEMPT_ID, ""))
                                .put("left_ms", left)
                                .put("come_back_ms", wait)
                                .put("cause", "this VM's thread is behind"));
        return mAnswers.refused(wait);
    }

    /** Forgets what was counted for routes that are gone; runs on the traffic thread only. */
    private void noteRoutes(RouteTable routes) {
        if (mRoutes != routes) {
            mRoutes = routes;
            mShares.retain(routes.configuration().routes());
        }
    }

    private HttpResponse exchange(
            ServiceRequestContext context,
            AggregatedHttpRequest message,
            RouteTable routes,
            RouteRule route,
            String path,
            long arrivalMillis) {
        String service = mShares.next(route);
        Optional<ServicePool> pool = mPools.find(service);
        if (pool.isEmpty()) {
            return mAnswers.refused(STARTING_WAIT_MILLIS);
        }
        long timeoutMillis = route.timeout().toMillis();
        ProxyRequest matched =
                new ProxyRequest(
                        message.headers().get(TargetHeaders.ATTEMPT_ID),
                        routes.configuration().version(),
                        route,
                        service,
                        RouteKinds.of(
                                route, routes.configuration().limits(), mSettings.retryShare()),
                        path,
                        message,
                        arrivalMillis,
                        arrivalMillis
                                + Math.min(
                                        timeoutMillis, patience(message.headers(), timeoutMillis)));
        return new ProxyExchange(
                        matched,
                        pool.get(),
                        mConnections,
                        mClock,
                        context.eventLoop().withoutContext(),
                        mLog,
                        mAnswers)
                .start(context.log().partial().channel());
    }

    /**
     * Returns the size of a request's head on the wire, in bytes, without its first line's words.
     */
    private static long headBytes(RequestHeaders headers) {
        long bytes = headers.path().length();
        for (Map.Entry<AsciiString, String> header : headers) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_LINE_EXTRA;
        }
        return bytes;
    }

    /** Returns how long the caller waits, in milliseconds; as long as the route if it says not. */
    private static long patience(RequestHeaders headers, long routeMillis) {
        String text = headers.get(TargetHeaders.TIME_LEFT_MILLIS);
        if (text == null) {
            return routeMillis;
        }
        try {
            return Math.max(0, Long.parseLong(text.trim()) - WAY_BACK_MILLIS);
        } catch (NumberFormatException unreadable) {
            // What can't be read sets no limit of its own; the route's timeout still holds.
            return routeMillis;
        }
    }

    private static String authority(HttpRequest request) {
        String authority = request.authority();
        return authority == null ? "" : authority;
    }

    private static String pathOnly(String pathAndQuery) {
        int query = pathAndQuery.indexOf('?');
        return query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
    }
}
