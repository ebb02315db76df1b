package org.dahliapass.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.http.HttpServer;
import org.dahliapass.http.PathRouter;
import org.dahliapass.http.RequestHandler;
import org.dahliapass.http.ServerResponse;
import org.dahliapass.http.ServerTimeouts;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.routing.RequestLimits;
import org.dahliapass.platform.DiscoveryCalls;
import org.dahliapass.platform.StoreCalls;
import org.dahliapass.traffic.EntryMetrics;

/**
 * The HTTP servers of a VM: one for callers' requests, one for asks and readiness, and one for what
 * only the fleet and its operators may see, the copy of the store and the metrics.
 */
final class GatewayServers implements KernelService {
    /** The name under which the kernel holds the servers. */
    static final String NAME = "servers";

    /**
     * What clients may take before there is a configuration, and at the addresses of which it says
     * nothing. A head comes in one piece mostly; an idle connection costs little.
     */
    private static final ServerTimeouts LIMITS =
            new ServerTimeouts(
                    Duration.ofSeconds(10), Duration.ofSeconds(30), Duration.ofMinutes(2));

    private final GatewaySettings mSettings;
    private final GatewayState mState;
    private final EntryMetrics mMetrics;
    private final ProxyHandler mProxy;
    private final DiscoveryHandler mAsks;
    private final MirrorService mMirror;
    private final EventLoopGroup mLoops;
    private final Clock mClock;
    private final StoreFollower mFollower;
    private HttpServer mCallers;
    private HttpServer mAskers;
    private HttpServer mPeers;

    GatewayServers(
            GatewaySettings settings,
            GatewayState state,
            EntryMetrics metrics,
            ProxyHandler proxy,
            DiscoveryHandler asks,
            MirrorService mirror,
            EventLoopGroup loops,
            Clock clock,
            StoreFollower follower) {
        mSettings = settings;
        mState = state;
        mMetrics = metrics;
        mProxy = proxy;
        mAsks = asks;
        mMirror = mirror;
        mLoops = loops;
        mClock = clock;
        mFollower = follower;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mCallers = new HttpServer(mLoops, mProxy, mClock, this::callersLimits);
        mAskers =
                server(
                        new PathRouter()
                                .add(DiscoveryCalls.DISCOVERY_PATH, mAsks)
                                .add(
                                        DiscoveryCalls.READINESS_PATH,
                                        call -> call.respond(ServerResponse.of(readiness()))));
        mPeers =
                server(
                        new PathRouter()
                                .add(StoreCalls.RANGE_PATH, mMirror::range)
                                .add(StoreCalls.WATCH_PATH, mMirror::watch)
                                .add("/metrics", call -> call.respond(metrics())));
        List<CompletableFuture<Void>> started = new ArrayList<>();
        started.add(mCallers.listen(mSettings.self().callerEndpoint()));
        started.add(mAskers.listen(mSettings.discovery()));
        started.add(mAskers.listen(mSettings.readiness()));
        started.add(mPeers.listen(mSettings.self().peerEndpoint()));
        started.add(mPeers.listen(mSettings.control()));
        mSettings.metrics().ifPresent(endpoint -> started.add(mPeers.listen(endpoint)));
        return CompletableFuture.allOf(started.toArray(CompletableFuture<?>[]::new));
    }

    private HttpServer server(RequestHandler handler) {
        return new HttpServer(mLoops, handler, mClock, () -> LIMITS);
    }

    /** Returns how long callers may take, by the operator's configuration. */
    private ServerTimeouts callersLimits() {
        return mFollower
                .view()
                .routes()
                .map(routes -> serverLimits(routes.configuration().limits()))
                .orElse(LIMITS);
    }

    private static ServerTimeouts serverLimits(RequestLimits limits) {
        return new ServerTimeouts(
                limits.headerTimeout(), limits.idleTimeout(), limits.idleTimeout());
    }

    private HttpResponseStatus readiness() {
        return mState.phase().isReady()
                ? HttpResponseStatus.OK
                : HttpResponseStatus.SERVICE_UNAVAILABLE;
    }

    private ServerResponse metrics() {
        return ServerResponse.text(HttpResponseStatus.OK, mMetrics.scrape());
    }

    @Override
    public CompletableFuture<Void> stop() {
        return CompletableFuture.allOf(mCallers.stop(), mAskers.stop(), mPeers.stop());
    }
}
