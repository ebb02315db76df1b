package org.dahliapass.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.http.HttpServer;
import org.dahliapass.http.LingerEnd;
import org.dahliapass.http.PathRouter;
import org.dahliapass.http.RequestHandler;
import org.dahliapass.http.ServerCall;
import org.dahliapass.http.ServerResponse;
import org.dahliapass.http.ServerTimeouts;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.routing.RequestLimits;
import org.dahliapass.platform.DiscoveryCalls;
import org.dahliapass.platform.StoreCalls;
import org.dahliapass.traffic.EntryMetrics;

/**
 * The HTTP servers of a VM: one for proxied requests, one for discovery and readiness, and an
 * internal one for the fleet and its operators that serves the mirror of the store and the metrics.
 */
final class GatewayServers implements KernelService {
    /** The service name in the kernel. */
    static final String NAME = "servers";

    /** The timeouts before the first configuration and on the servers that it does not cover. */
    private static final ServerTimeouts DEFAULT_TIMEOUTS =
            new ServerTimeouts(
                    Duration.ofSeconds(10), Duration.ofSeconds(30), Duration.ofMinutes(2));

    private final GatewaySettings mSettings;
    private final GatewayState mState;
    private final EntryMetrics mMetrics;
    private final ProxyHandler mProxy;
    private final DiscoveryHandler mDiscovery;
    private final MirrorService mMirror;
    private final TargetConnections mConnections;
    private final Clock mClock;
    private final StoreFollower mFollower;
    private HttpServer mCallerServer;
    private HttpServer mDiscoveryServer;
    private HttpServer mInternalServer;

    GatewayServers(
            GatewaySettings settings,
            GatewayState state,
            EntryMetrics metrics,
            ProxyHandler proxy,
            DiscoveryHandler discovery,
            MirrorService mirror,
            TargetConnections connections,
            Clock clock,
            StoreFollower follower) {
        mSettings = settings;
        mState = state;
        mMetrics = metrics;
        mProxy = proxy;
        mDiscovery = discovery;
        mMirror = mirror;
        mConnections = connections;
        mClock = clock;
        mFollower = follower;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mCallerServer = callerServer();
        mDiscoveryServer =
                internalServer(
                        new PathRouter()
                                .add(DiscoveryCalls.DISCOVERY_PATH, mDiscovery)
                                .add(
                                        DiscoveryCalls.READINESS_PATH,
                                        call -> call.respond(ServerResponse.of(readiness()))));
        PathRouter internalCalls =
                new PathRouter()
                        .add(StoreCalls.RANGE_PATH, mMirror::range)
                        .add(StoreCalls.WATCH_PATH, mMirror::watch)
                        .add("/metrics", call -> call.respond(metrics()));
        mInternalServer = internalServer(call -> onInternalCall(call, internalCalls));
        List<CompletableFuture<Void>> started = new ArrayList<>();
        started.add(mCallerServer.listen(mSettings.self().callerEndpoint()));
        started.add(mDiscoveryServer.listen(mSettings.discovery()));
        started.add(mDiscoveryServer.listen(mSettings.readiness()));
        started.add(mInternalServer.listen(mSettings.self().peerEndpoint()));
        started.add(mInternalServer.listen(mSettings.control()));
        mSettings.metrics().ifPresent(endpoint -> started.add(mInternalServer.listen(endpoint)));
        return CompletableFuture.allOf(started.toArray(CompletableFuture<?>[]::new));
    }

    /** Handles a request that another VM passes on, or a call to one of the internal paths. */
    private void onInternalCall(ServerCall call, RequestHandler internalCalls) {
        String relay = call.head().headers().get(RelayHeader.NAME);
        if (relay == null) {
            internalCalls.onRequest(call);
            return;
        }
        RelayHeader.parse(relay)
                .ifPresentOrElse(
                        header -> mProxy.onRelayedRequest(call, header),
                        () -> call.respond(ServerResponse.of(HttpResponseStatus.BAD_REQUEST)));
    }

    /** Returns the server for callers, the only clients that send requests ahead. */
    private HttpServer callerServer() {
        return new HttpServer(
                mConnections.loops(),
                mProxy,
                mClock,
                mConnections.monitor(),
                this::callerTimeouts,
                mSettings.load().pipelinedRequests(),
                new PipelineCounter(mMetrics, mConnections.memory()),
                new CallerConnections(
                        mSettings.load().descriptors(),
                        mConnections.client()::openConnections,
                        mConnections.memory()));
    }

    private HttpServer internalServer(RequestHandler handler) {
        return new HttpServer(
                mConnections.loops(),
                handler,
                mClock,
                mConnections.monitor(),
                () -> DEFAULT_TIMEOUTS);
    }

    /** Returns the timeouts for callers from the configuration. */
    private ServerTimeouts callerTimeouts() {
        return mFollower
                .view()
                .routes()
                .map(routes -> serverTimeouts(routes.configuration().limits()))
                .orElse(DEFAULT_TIMEOUTS);
    }

    private static ServerTimeouts serverTimeouts(RequestLimits limits) {
        return new ServerTimeouts(
                limits.headerTimeout(), limits.idleTimeout(), limits.idleTimeout());
    }

    /** Returns whether a client may not have received all of the last response. */
    boolean hasLingeringConnections() {
        return lingeringConnections() > 0;
    }

    private int lingeringConnections() {
        return mCallerServer.lingeringConnections() + mInternalServer.lingeringConnections();
    }

    /** Adds to a line of the log how connections have ended after their last response. */
    void describeLingering(JsonObject line) {
        line.put("lingering", lingeringConnections());
        Map<LingerEnd, Integer> ends = mCallerServer.lingerEnds();
        mInternalServer.lingerEnds().forEach((end, count) -> ends.merge(end, count, Integer::sum));
        ends.forEach(
                (end, count) -> line.put("lingered_" + end.name().toLowerCase(Locale.ROOT), count));
    }

    private HttpResponseStatus readiness() {
        return mState.phase().isReady()
                ? HttpResponseStatus.OK
                : HttpResponseStatus.SERVICE_UNAVAILABLE;
    }

    private ServerResponse metrics() {
        mConnections.memory().publish();
        return ServerResponse.text(HttpResponseStatus.OK, mMetrics.scrape());
    }

    @Override
    public CompletableFuture<Void> stop() {
        return CompletableFuture.allOf(
                mCallerServer.stop(), mDiscoveryServer.stop(), mInternalServer.stop());
    }
}
