package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Clock;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.dahliapass.decisions.routing.RouteTable;
import org.dahliapass.decisions.routing.WeightedRoundRobin;
import org.dahliapass.http.RequestHandler;
import org.dahliapass.http.RequestTarget;
import org.dahliapass.http.ServerCall;
import org.dahliapass.model.routing.RequestLimits;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.platform.TargetHeaders;

/** Matches callers' requests with routes and hands them to the exchange that serves them. */
final class ProxyHandler implements RequestHandler {
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
    private final WeightedRoundRobin mShares;
    private final TargetConnections mConnections;
    private final EventLog mLog;
    private final GatewayResponses mAnswers;
    private final LoadReporter mLoad;
    private final BooleanSupplier mUpToDate;
    private final Runnable mOnWork;
    private final PoisonGuard mGuard;
    private RouteTable mRoutes;

    ProxyHandler(
            Clock clock,
            GatewaySettings settings,
            GatewayState state,
            StoreFollower follower,
            ServicePools pools,
            WeightedRoundRobin shares,
            TargetConnections connections,
            EventLog log,
            GatewayResponses answers,
            LoadReporter load,
            BooleanSupplier upToDate,
            Runnable onWork,
            PoisonGuard guard) {
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
        mUpToDate = upToDate;
        mOnWork = onWork;
        mGuard = guard;
    }

    @Override
    public void onRequest(ServerCall call) {
        mLoad.onRequest(call);
        if (mState.phase().closesConnections()) {
            call.closeAfterResponse();
        }
        Optional<RouteTable> routes = mFollower.view().routes();
        if (!mState.phase().acceptsRequests() || routes.isEmpty()) {
            mAnswers.refused(STARTING_WAIT_MILLIS).send(call);
            return;
        }
        if (mLoad.isFallingBehind()) {
            refuseUnread(call);
            return;
        }
        noteRoutes(routes.get());
        match(call, routes.get());
    }

    private void match(ServerCall call, RouteTable routes) {
        HttpRequest head = call.head();
        RequestTarget target = RequestTarget.of(head);
        Optional<RouteRule> route = routes.find(target.authority(), target.pathWithoutQuery());
        if (route.isEmpty()) {
            denyOrPutOff(call, routes);
            return;
        }
        if (!head.headers().contains(TargetHeaders.ATTEMPT_ID)) {
            mAnswers.missingAttemptId().send(call);
            return;
        }
        RequestLimits limits = routes.configuration().limits();
        if (headBytes(head) > limits.headerBytes()) {
            mAnswers.headTooLarge().send(call);
            return;
        }
        long arrivalMillis = mClock.millis();
        call.readBody(
                limits.bodyBytes(),
                body -> {
                    mOnWork.run();
                    mPools.runWhenCurrent(
                            call.loop(),
                            () -> exchange(call, target, body, routes, route.get(), arrivalMillis));
                },
                () -> mAnswers.bodyTooLarge().send(call));
    }

    /**
     * Says that there is no such route, or asks the caller to come back while that isn't sure.
     *
     * <p>Guards against a VM whose news are late, because it is short of processor or its source is
     * silent: callers of a route that is new would be told for good that there is none.
     */
    private void denyOrPutOff(ServerCall call, RouteTable routes) {
        if (mUpToDate.getAsBoolean()) {
            mAnswers.noRoute().send(call);
            return;
        }
        HttpHeaders headers = call.head().headers();
        long wait = mAnswers.retryAfterMillis(patience(headers, UNTOLD_PATIENCE_MILLIS));
        mLog.write(
                EventLog.Kind.REQUEST,
                "route_unsure",
                line ->
                        line.put("id", headers.get(TargetHeaders.ATTEMPT_ID, ""))
                                .put("version", routes.configuration().version())
                                .put("come_back_ms", wait)
                                .put("cause", "no news of changes for too long"));
        mAnswers.refused(wait).send(call);
    }

    /**
     * Refuses a request before any work is done on it, so that the caller may come back at another
     * VM while it has time, and this VM gets through what it has.
     */
    private void refuseUnread(ServerCall call) {
        HttpHeaders headers = call.head().headers();
        long left = patience(headers, UNTOLD_PATIENCE_MILLIS);
        long wait = mAnswers.retryAfterMillis(left);
        mLog.write(
                EventLog.Kind.REQUEST,
                "request_refused_unread",
                line ->
                        line.put("id", headers.get(TargetHeaders.ATTEMPT_ID, ""))
                                .put("left_ms", left)
                                .put("come_back_ms", wait)
                                .put("cause", "this VM's thread is behind"));
        mAnswers.refused(wait).send(call);
    }

    /** Forgets what was counted for routes that are gone; runs on the traffic thread only. */
    private void noteRoutes(RouteTable routes) {
        if (mRoutes != routes) {
            mRoutes = routes;
            mShares.retainRoutes(routes.configuration().routes());
        }
    }

    private void exchange(
            ServerCall call,
            RequestTarget target,
            ByteBuf body,
            RouteTable routes,
            RouteRule route,
            long arrivalMillis) {
        String service = mShares.next(route);
        Optional<ServicePool> pool = mPools.find(service);
        if (pool.isEmpty()) {
            mAnswers.refused(STARTING_WAIT_MILLIS).send(call);
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders().set(call.head().headers());
        headers.set(HttpHeaderNames.HOST, target.authority());
        long timeoutMillis = route.timeout().toMillis();
        ProxyRequest matched =
                new ProxyRequest(
                        headers.get(TargetHeaders.ATTEMPT_ID),
                        routes.configuration().version(),
                        route,
                        service,
                        RequestKinds.of(
                                route, routes.configuration().limits(), mSettings.retryShare()),
                        target.path(),
                        call.head().method(),
                        headers,
                        body,
                        arrivalMillis,
                        arrivalMillis + Math.min(timeoutMillis, patience(headers, timeoutMillis)));
        new ProxyExchange(call, matched, pool.get(), mConnections, mClock, mLog, mAnswers, mGuard)
                .start();
    }

    /**
     * Returns the size of a request's head on the wire, in bytes, without its first line's words.
     */
    private static long headBytes(HttpRequest head) {
        long bytes = head.uri().length();
        for (Map.Entry<String, String> header : head.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_LINE_EXTRA;
        }
        return bytes;
    }

    /** Returns how long the caller waits, in milliseconds; as long as the route if it says not. */
    private static long patience(HttpHeaders headers, long routeMillis) {
        String text = headers.get(TargetHeaders.REMAINING_MILLIS);
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
}
