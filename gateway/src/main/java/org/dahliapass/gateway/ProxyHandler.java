package org.dahliapass.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Clock;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.dahliapass.decisions.access.Authentication;
import org.dahliapass.decisions.access.CallerIdentity;
import org.dahliapass.decisions.access.Credentials;
import org.dahliapass.decisions.access.RejectionReason;
import org.dahliapass.decisions.memory.MemoryAccount;
import org.dahliapass.decisions.routing.RouteTable;
import org.dahliapass.decisions.routing.WeightedRoundRobin;
import org.dahliapass.gateway.UnexpectedFailures.Step;
import org.dahliapass.http.RequestHandler;
import org.dahliapass.http.RequestTarget;
import org.dahliapass.http.ServerCall;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.model.routing.Customer;
import org.dahliapass.model.routing.RequestLimits;
import org.dahliapass.model.routing.RouteRule;
import org.dahliapass.platform.TargetHeaders;

/** Matches requests to routes and starts the exchange that serves them. */
final class ProxyHandler implements RequestHandler {
    private static final long STARTUP_RETRY_MILLIS = 300;

    /**
     * The part of the caller's timeout spent on opening the connection and on the network latency
     * in both directions, which is at most 8 ms each way.
     */
    private static final long NETWORK_ALLOWANCE_MILLIS = 35;

    /** Bounds the memory of requests that wait for the configuration, which has the limit. */
    private static final long MAX_STARTUP_BODY_BYTES = 64 * 1024;

    /** The priority for the memory of a request whose route is not known yet: the highest. */
    private static final int STARTUP_PRIORITY = 0;

    private static final String MEMORY_SHORT = "memory is short";

    /** The assumed timeout of a caller that sends none. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 1_000;

    /** The colon, the space and the line end of a header line. */
    private static final int HEADER_LINE_OVERHEAD = 4;

    private final Clock mClock;
    private final GatewaySettings mSettings;
    private final GatewayState mState;
    private final StoreFollower mFollower;
    private final ServicePools mPools;
    private final WeightedRoundRobin mServiceChooser;
    private final TargetConnections mConnections;
    private final EventLog mLog;
    private final GatewayResponses mResponses;
    private final LoadReporter mLoadReporter;
    private final ConfigurationStatus mConfigurationStatus;
    private final Runnable mOnRequest;
    private final PoisonGuard mGuard;
    private final RequestAuthenticator mAuthenticator;
    private final CustomerLimits mLimits;
    private final RequestRelay mRelay;
    private final RequestStarter mStarter;
    private final StartupQueue mStartupQueue;
    private final UnexpectedFailures mFailures;
    private final RequestMemory mMemory;

    /** The requests that are not delivered; traffic thread only. */
    private final Set<ProxyExchange> mExchanges = new LinkedHashSet<>();

    private RouteTable mRoutes;

    ProxyHandler(
            Clock clock,
            GatewaySettings settings,
            GatewayState state,
            StoreFollower follower,
            ServicePools pools,
            WeightedRoundRobin serviceChooser,
            TargetConnections connections,
            EventLog log,
            GatewayResponses responses,
            LoadReporter loadReporter,
            ConfigurationStatus configurationStatus,
            Runnable onRequestRead,
            PoisonGuard guard,
            RequestAuthenticator authenticator,
            CustomerLimits limits,
            RequestRelay relay) {
        mRelay = relay;
        mClock = clock;
        mSettings = settings;
        mState = state;
        mFollower = follower;
        mPools = pools;
        mServiceChooser = serviceChooser;
        mConnections = connections;
        mLog = log;
        mResponses = responses;
        mLoadReporter = loadReporter;
        mConfigurationStatus = configurationStatus;
        mOnRequest = onRequestRead;
        mGuard = guard;
        mAuthenticator = authenticator;
        mLimits = limits;
        mStarter = new RequestStarter(clock);
        mStartupQueue = new StartupQueue(settings.load().startupWaitMillis());
        mFailures = connections.failures();
        mMemory = connections.memory();
    }

    @Override
    public void onRequest(ServerCall call) {
        guard(call, () -> receive(call));
    }

    /** Handles a request that another VM passes on, because it reaches no target. */
    void onRelayedRequest(ServerCall call, RelayHeader relay) {
        guard(call, () -> receiveRelayed(call, relay));
    }

    /** Runs a step of reading a request, which ends alone after an unexpected exception. */
    private void guard(ServerCall call, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error failure) {
            failUnexpectedly(Step.READ, call, failure);
        }
    }

    /** Runs a step of a request that may hold a token, which an unexpected exception releases. */
    private void guard(Step step, ServerCall call, Match match, Runnable body) {
        try {
            body.run();
        } catch (RuntimeException | Error failure) {
            mFailures.runAtEnd(idOf(call), () -> releaseToken(match));
            failUnexpectedly(step, call, failure);
        }
    }

    /** Ends a request of which nothing was sent. */
    private void failUnexpectedly(Step step, ServerCall call, Throwable failure) {
        String id = idOf(call);
        mFailures.onRequestFailed(step, id, failure);
        mFailures.runAtEnd(
                id,
                () -> {
                    if (!call.isResponseStarted()) {
                        long remaining =
                                callerTimeout(call.head().headers(), DEFAULT_TIMEOUT_MILLIS);
                        mResponses.refused(mResponses.retryAfterMillis(remaining)).send(call);
                    }
                });
    }

    private static String idOf(ServerCall call) {
        return call.head().headers().get(TargetHeaders.ATTEMPT_ID, "");
    }

    private void receive(ServerCall call) {
        mLoadReporter.onRequest(call);
        if (mState.phase().closesConnections()) {
            call.closeIfLast();
        }
        Optional<RouteTable> routes = mFollower.view().routes();
        if (mState.phase() == GatewayState.Phase.STARTING && mStartupQueue.hasRoom()) {
            awaitConfiguration(call);
            return;
        }
        if (!mState.phase().acceptsRequests() || routes.isEmpty()) {
            refuseUnconfigured(call);
            return;
        }
        if (mLoadReporter.isFallingBehind()) {
            refuseBeforeReading(call, "the traffic thread is overloaded");
            return;
        }
        updateRoutes(routes.get());
        match(call, routes.get(), Optional.empty(), Optional.empty());
    }

    /** Starts the requests that wait for the first configuration; any thread may call this. */
    void onConfigured() {
        mStartupQueue.open();
    }

    /** Reads the request and lets it wait until the VM is configured. */
    private void awaitConfiguration(ServerCall call) {
        Optional<MemoryAccount.Holding> holding =
                mMemory.admit(call, STARTUP_PRIORITY, MAX_STARTUP_BODY_BYTES);
        if (holding.isEmpty()) {
            mMemory.onRefused();
            refuseBeforeReading(call, MEMORY_SHORT);
            return;
        }
        long remaining = callerTimeout(call.head().headers(), DEFAULT_TIMEOUT_MILLIS);
        mLog.write(
                EventLog.Kind.REQUEST,
                "request_awaits_configuration",
                line -> line.put("id", idOf(call)).put("left_ms", remaining));
        call.readBody(
                MAX_STARTUP_BODY_BYTES,
                body ->
                        guard(
                                call,
                                () -> {
                                    holding.get().resize(body.capacity());
                                    enqueue(call, body, remaining);
                                }),
                () -> guard(call, () -> refuseUnconfigured(call)));
    }

    private void enqueue(ServerCall call, ByteBuf body, long remainingMillis) {
        mStartupQueue.add(
                call.loop(),
                remainingMillis,
                () -> guard(call, () -> matchOnceConfigured(call, body)),
                () -> guard(call, () -> refuseUnconfigured(call)));
    }

    private void matchOnceConfigured(ServerCall call, ByteBuf body) {
        Optional<RouteTable> routes = mFollower.view().routes();
        if (!mState.phase().acceptsRequests() || routes.isEmpty()) {
            refuseUnconfigured(call);
            return;
        }
        updateRoutes(routes.get());
        match(call, routes.get(), Optional.empty(), Optional.of(body));
    }

    private void refuseUnconfigured(ServerCall call) {
        mResponses.refused(STARTUP_RETRY_MILLIS).send(call);
    }

    private void receiveRelayed(ServerCall call, RelayHeader relay) {
        mLoadReporter.onRequest(call);
        if (mState.phase().closesConnections()) {
            call.closeIfLast();
        }
        Optional<RouteTable> routes = mFollower.view().routes();
        boolean isAvailable =
                mState.phase().acceptsRequests()
                        && routes.isPresent()
                        && !mRelay.isNeeded()
                        && !mLoadReporter.isFallingBehind();
        if (!isAvailable) {
            mResponses.relayUnavailable(false).send(call);
            return;
        }
        mRelay.onReceived();
        call.head().headers().remove(RelayHeader.NAME);
        updateRoutes(routes.get());
        match(call, routes.get(), Optional.of(relay), Optional.empty());
    }

    /**
     * Matches a request to its route.
     *
     * @param body the body, if it has been read
     */
    private void match(
            ServerCall call,
            RouteTable routes,
            Optional<RelayHeader> relay,
            Optional<ByteBuf> body) {
        HttpRequest head = call.head();
        RequestTarget target = RequestTarget.of(head);
        Optional<RouteRule> route = routes.find(target.authority(), target.pathWithoutQuery());
        if (route.isEmpty()) {
            respondNotFoundOrRetry(call, routes);
            return;
        }
        if (!head.headers().contains(TargetHeaders.ATTEMPT_ID)) {
            mResponses.missingAttemptId().send(call);
            return;
        }
        RequestLimits limits = routes.configuration().limits();
        if (headBytes(head) > limits.headerBytes()) {
            mResponses.headTooLarge().send(call);
            return;
        }
        Credentials credentials =
                Credentials.parse(head.headers().getAll(HttpHeaderNames.AUTHORIZATION));
        Authentication authentication =
                mAuthenticator.authenticate(routes, route.get(), credentials);
        if (authentication instanceof Authentication.Rejected rejected) {
            rejectUnauthenticated(call, routes, rejected.reason());
        } else if (authentication instanceof Authentication.Accepted accepted) {
            Optional<PassOnCause> passOnCause =
                    startsInTime(call, route.get())
                            ? Optional.empty()
                            : Optional.of(PassOnCause.THREAD);
            Match match =
                    new Match(
                            target,
                            route.get(),
                            credentials,
                            accepted.identity(),
                            relay,
                            false,
                            passOnCause);
            if (passOnCause.isPresent() && !mayPassOn(call, match, PassOnCause.THREAD)) {
                refuseBeforeReading(call, "too many requests wait for the traffic thread");
            } else if (!takesToken(match)) {
                read(call, routes, match, body);
            } else if (isWithinLimit(call, routes, match)) {
                read(call, routes, match.withToken(), body);
            }
        }
    }

    /** Returns whether the requests that were read before leave enough time for this one. */
    private boolean startsInTime(ServerCall call, RouteRule route) {
        return mStarter.backlog()
                .startsInTime(route.objective().toMillis(), remainingMillis(call, route));
    }

    private static long remainingMillis(ServerCall call, RouteRule route) {
        long timeoutMillis = route.timeout().toMillis();
        return Math.min(timeoutMillis, callerTimeout(call.head().headers(), timeoutMillis));
    }

    /** Returns whether a request that is about to be refused may be served by another VM. */
    private boolean mayPassOn(ServerCall call, Match match, PassOnCause cause) {
        return mRelay.mayPassOn(
                cause, match.relay().isPresent(), remainingMillis(call, match.route()));
    }

    /**
     * Returns whether the request needs a token of this VM. The VM that sends it to targets takes
     * one, unless the VM that received it has done so before it passed the request on.
     */
    private boolean takesToken(Match match) {
        return match.relay().map(relay -> !relay.isLimited()).orElse(!mRelay.isNeeded());
    }

    /** Takes a token of the customer's rate limit, or refuses the request. */
    private boolean isWithinLimit(ServerCall call, RouteTable routes, Match match) {
        if (match.identity().customer().isEmpty()) {
            return true;
        }
        Customer customer = match.identity().customer().get();
        OptionalLong wait = mLimits.tryAcquire(customer);
        if (wait.isEmpty()) {
            return true;
        }
        mLog.write(
                EventLog.Kind.REQUEST,
                "request_rate_limited",
                line ->
                        line.put("id", call.head().headers().get(TargetHeaders.ATTEMPT_ID, ""))
                                .put("customer", customer.name())
                                .put("requests_per_second", customer.limit().requestsPerSecond())
                                .put("burst", customer.limit().burst())
                                .put("version", routes.configuration().version())
                                .put("wait_ms", wait.getAsLong()));
        mResponses.rateLimited(wait.getAsLong()).send(call);
        return false;
    }

    private void releaseToken(Match match) {
        if (match.holdsToken()) {
            match.identity().customer().ifPresent(mLimits::release);
        }
    }

    private void read(ServerCall call, RouteTable routes, Match match, Optional<ByteBuf> readBody) {
        guard(
                Step.READ,
                call,
                match,
                () -> {
                    match.passOnCause().ifPresent(cause -> mRelay.onPassOn(call, cause));
                    readOrStart(call, routes, match, readBody);
                });
    }

    /** Reads the body; one that was read before its route was known is in the account already. */
    private void readOrStart(
            ServerCall call, RouteTable routes, Match match, Optional<ByteBuf> readBody) {
        long maxBytes = routes.configuration().limits().bodyBytes();
        if (readBody.isEmpty()) {
            readBody(call, routes, match, maxBytes);
        } else if (readBody.get().readableBytes() > maxBytes) {
            rejectBody(call, match);
        } else {
            startWhenReady(call, match, readBody.get(), routes, bodyWaits(call));
        }
    }

    private void readBody(ServerCall call, RouteTable routes, Match match, long maxBytes) {
        Optional<MemoryAccount.Holding> holding = mMemory.admit(call, match.priority(), maxBytes);
        if (holding.isEmpty()) {
            if (match.passOnCause().isEmpty()
                    && !mMemory.needsBuffer(call, maxBytes)
                    && mayPassOn(call, match, PassOnCause.MEMORY)) {
                mRelay.onPassOn(call, PassOnCause.MEMORY);
                readToPassOn(call, match.withPassOnCause(PassOnCause.MEMORY), routes);
                return;
            }
            mMemory.onRefused();
            mFailures.runAtEnd(idOf(call), () -> releaseToken(match));
            guard(call, () -> refuseBeforeReading(call, MEMORY_SHORT));
            return;
        }
        WaitLog waits = bodyWaits(call);
        call.readBody(
                maxBytes,
                body ->
                        guard(
                                Step.READ,
                                call,
                                match,
                                () -> {
                                    holding.get().resize(body.capacity());
                                    startWhenReady(call, match, body, routes, waits);
                                }),
                () -> rejectBody(call, match));
    }

    /** Passes on a request without a body, which needs no memory for one. */
    private void readToPassOn(ServerCall call, Match match, RouteTable routes) {
        WaitLog waits = bodyWaits(call);
        call.readBody(
                0,
                body ->
                        guard(
                                Step.READ,
                                call,
                                match,
                                () -> startWhenReady(call, match, body, routes, waits)),
                () -> rejectBody(call, match));
    }

    private static WaitLog bodyWaits(ServerCall call) {
        WaitLog waits = new WaitLog();
        waits.start(WaitLog.Cause.BODY, call.receiveTimes().arrivalMillis());
        return waits;
    }

    private void rejectBody(ServerCall call, Match match) {
        mFailures.runAtEnd(idOf(call), () -> releaseToken(match));
        guard(call, () -> mResponses.bodyTooLarge().send(call));
    }

    /** Starts a request once the pools are up to date, after the requests read before it. */
    private void startWhenReady(
            ServerCall call, Match match, ByteBuf body, RouteTable routes, WaitLog waits) {
        mOnRequest.run();
        waits.start(WaitLog.Cause.CONFIGURATION, mClock.millis());
        Runnable start =
                () ->
                        guard(
                                Step.START,
                                call,
                                match,
                                () -> startExchange(call, match, body, routes, waits));
        mPools.runWhenCurrent(
                call.loop(),
                () ->
                        guard(
                                Step.READ,
                                call,
                                match,
                                () -> {
                                    waits.start(WaitLog.Cause.THREAD, mClock.millis());
                                    if (match.passOnCause().isPresent()) {
                                        start.run();
                                    } else {
                                        mStarter.add(call.loop(), start);
                                    }
                                }));
    }

    /**
     * Responds with 404, or asks the caller to retry if this VM may not know the newest routes.
     *
     * <p>Guards against a final 404 for a new route from a VM whose updates are late because it is
     * short of processor time or its source is silent.
     */
    private void respondNotFoundOrRetry(ServerCall call, RouteTable routes) {
        if (mConfigurationStatus.isUpToDate()) {
            mLog.write(
                    EventLog.Kind.REQUEST,
                    "route_unknown",
                    line -> describe(line, call, routes).put("status", GatewayResponses.NOT_FOUND));
            mResponses.noRoute().send(call);
            return;
        }
        refuseUnsure(call, routes, "route_unsure", "no recent update of the configuration");
    }

    /**
     * Responds with 401, or asks the caller to retry if this VM may not know the newest keys.
     *
     * <p>Guards against a final 401 for a new key from a VM whose updates are late.
     */
    private void rejectUnauthenticated(ServerCall call, RouteTable routes, RejectionReason reason) {
        if (!reason.isDefinite() || !mConfigurationStatus.isUpToDate()) {
            refuseUnsure(call, routes, "key_unsure", reason.description());
            return;
        }
        mLog.write(
                EventLog.Kind.REQUEST,
                "request_unauthenticated",
                line -> describe(line, call, routes).put("cause", reason.description()));
        mResponses.unauthenticated().send(call);
    }

    private void refuseUnsure(ServerCall call, RouteTable routes, String event, String cause) {
        HttpHeaders headers = call.head().headers();
        long retryAfter =
                mResponses.retryAfterMillis(callerTimeout(headers, DEFAULT_TIMEOUT_MILLIS));
        mLog.write(
                EventLog.Kind.REQUEST,
                event,
                line ->
                        describe(line, call, routes)
                                .put("come_back_ms", retryAfter)
                                .put("cause", cause));
        mResponses.refused(retryAfter).send(call);
    }

    /** Adds a request and the configuration that it was judged by to a line of the log. */
    private JsonObject describe(JsonObject line, ServerCall call, RouteTable routes) {
        line.put("id", call.head().headers().get(TargetHeaders.ATTEMPT_ID, ""))
                .put("version", routes.configuration().version());
        mConfigurationStatus.describe(line);
        return line;
    }

    /**
     * Refuses a request before its body is read, so that the caller can retry at another VM in time
     * and this VM can work off its backlog.
     */
    private void refuseBeforeReading(ServerCall call, String cause) {
        HttpHeaders headers = call.head().headers();
        long remaining = callerTimeout(headers, DEFAULT_TIMEOUT_MILLIS);
        long retryAfter = mResponses.retryAfterMillis(remaining);
        mLog.write(
                EventLog.Kind.REQUEST,
                "request_refused_unread",
                line ->
                        line.put("id", headers.get(TargetHeaders.ATTEMPT_ID, ""))
                                .put("left_ms", remaining)
                                .put("come_back_ms", retryAfter)
                                .put("expected_wait_ms", mStarter.backlog().expectedWaitMillis())
                                .put("cause", cause));
        mResponses.refused(retryAfter).send(call);
    }

    /** Removes the state of routes that no longer exist; traffic thread only. */
    private void updateRoutes(RouteTable routes) {
        if (mRoutes != routes) {
            mRoutes = routes;
            mServiceChooser.retainRoutes(routes.configuration().routes());
        }
    }

    private void startExchange(
            ServerCall call, Match match, ByteBuf body, RouteTable routes, WaitLog waits) {
        waits.end(mClock.millis());
        RouteRule route = match.route();
        String service =
                match.relay()
                        .map(RelayHeader::service)
                        .filter(selected -> hasService(route, selected))
                        .orElseGet(() -> mServiceChooser.next(route));
        Optional<ServicePool> pool = mPools.find(service);
        if (pool.isEmpty()) {
            releaseToken(match);
            mResponses.refused(STARTUP_RETRY_MILLIS).send(call);
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders().set(call.head().headers());
        headers.set(HttpHeaderNames.HOST, match.target().authority());
        long timeoutMillis = route.timeout().toMillis();
        long arrivalMillis = call.receiveTimes().arrivalMillis();
        ProxyRequest request =
                new ProxyRequest(
                        headers.get(TargetHeaders.ATTEMPT_ID),
                        routes.configuration().version(),
                        route,
                        service,
                        match.credentials(),
                        match.identity(),
                        RequestKinds.of(
                                route, routes.configuration().limits(), mSettings.retryShare()),
                        match.target().path(),
                        call.head().method(),
                        headers,
                        body,
                        arrivalMillis,
                        arrivalMillis
                                + Math.min(timeoutMillis, callerTimeout(headers, timeoutMillis)),
                        match.holdsToken(),
                        match.relay());
        ProxyExchange exchange =
                new ProxyExchange(
                        call,
                        request,
                        pool.get(),
                        mConnections,
                        mClock,
                        mLog,
                        mResponses,
                        mGuard,
                        mAuthenticator,
                        mLimits,
                        new RelayAttempts(
                                mRelay, request, call::isClientConnected, match.passOnCause()),
                        waits);
        mExchanges.add(exchange);
        call.onDelivered(delivery -> mExchanges.remove(exchange));
        exchange.start();
    }

    /** Refuses all requests that were not sent to a target; any thread may call this. */
    void refuseUnsent() {
        mConnections
                .loop()
                .execute(() -> List.copyOf(mExchanges).forEach(ProxyExchange::refuseUnsent));
    }

    /** Responds to all requests before the VM stops; any thread may call this. */
    void endBeforeStop() {
        mConnections
                .loop()
                .execute(() -> List.copyOf(mExchanges).forEach(ProxyExchange::endBeforeStop));
    }

    private static boolean hasService(RouteRule route, String service) {
        return route.shares().stream().anyMatch(share -> share.service().equals(service));
    }

    /**
     * A request whose route and caller are known and whose body is not read yet.
     *
     * @param target the host and path
     * @param route the matching route
     * @param credentials the caller's credentials
     * @param identity for whom the request is executed
     * @param relay what the VM says that passed the request on; empty if a caller sent it
     * @param holdsToken whether this VM holds a token of the customer's rate limit for it
     * @param passOnCause what this VM lacks to serve the request itself; empty if it has all
     */
    private record Match(
            RequestTarget target,
            RouteRule route,
            Credentials credentials,
            CallerIdentity identity,
            Optional<RelayHeader> relay,
            boolean holdsToken,
            Optional<PassOnCause> passOnCause) {
        /** Returns the priority of the customer if it has one, else that of the route. */
        private int priority() {
            return identity.customer()
                    .map(customer -> customer.priority().orElse(route.priority()))
                    .orElse(route.priority());
        }

        private Match withToken() {
            return new Match(target, route, credentials, identity, relay, true, passOnCause);
        }

        private Match withPassOnCause(PassOnCause cause) {
            return new Match(
                    target, route, credentials, identity, relay, holdsToken, Optional.of(cause));
        }
    }

    /** Returns the approximate size of the request head on the wire, in bytes. */
    private static long headBytes(HttpRequest head) {
        long bytes = head.uri().length();
        for (Map.Entry<String, String> header : head.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_LINE_OVERHEAD;
        }
        return bytes;
    }

    /**
     * Returns the remaining time of the caller, in milliseconds, or {@code defaultMillis} if the
     * header is missing or malformed.
     */
    private static long callerTimeout(HttpHeaders headers, long defaultMillis) {
        String text = headers.get(TargetHeaders.REMAINING_MILLIS);
        if (text == null) {
            return defaultMillis;
        }
        try {
            return Math.max(0, Long.parseLong(text.trim()) - NETWORK_ALLOWANCE_MILLIS);
        } catch (NumberFormatException malformed) {
            return defaultMillis;
        }
    }
}
