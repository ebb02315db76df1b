package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.GracefulShutdown;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;

/** The HTTP server for callers: asks, requests, outcomes of guarded operations. */
public final class CallerServer implements KernelService {
    /** The name under which the kernel holds the server. */
    public static final String NAME = "caller-server";

    private static final Duration QUIET_PERIOD = Duration.ofMillis(200);
    private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(10);

    private final VmSettings mSettings;
    private final VmIdentity mIdentity;
    private final Clock mClock;
    private final CallerResponder mResponder;
    private final Readiness mReadiness;
    private Server mServer;

    CallerServer(
            VmSettings settings,
            VmIdentity identity,
            Clock clock,
            CallerResponder observer,
            Readiness readiness) {
        mSettings = settings;
        mIdentity = identity;
        mClock = clock;
        mResponder = observer;
        mReadiness = readiness;
    }

    private Server newServer(Kernel kernel) {
        FleetService fleet = kernel.find(FleetService.NAME, FleetService.class);
        AtMostOnceService once = kernel.find(AtMostOnceService.NAME, AtMostOnceService.class);
        RequestIdGenerator ids = new RequestIdGenerator(mIdentity);
        TokenIssuer tokens = new TokenIssuer(mClock, fleet, once.witnessReachability());
        ConfigurationService configuration =
                kernel.find(ConfigurationService.NAME, ConfigurationService.class);
        DiscoveryHandler asks =
                new DiscoveryHandler(mSettings, ids, fleet, configuration, tokens, mReadiness);
        return Server.builder()
                .port(
                        new InetSocketAddress(mSettings.address(), mSettings.callersPort()),
                        SessionProtocol.HTTP)
                .service("/ask", asks)
                .service("/outcomes/{customer}/{key}", new OutcomeHandler(ids, once, tokens))
                .serviceUnder(ServicePath.PREFIX, newRequestHandler(kernel, ids, tokens))
                .workerGroup(
                        kernel.find(TargetClients.NAME, TargetClients.class).eventLoops(), false)
                .requestTimeoutMillis(0)
                .maxRequestLength(0)
                .gracefulShutdown(
                        GracefulShutdown.builder()
                                .quietPeriod(QUIET_PERIOD)
                                .timeout(DRAIN_TIMEOUT)
                                .build())
                .decorator(
                        (delegate, context, request) ->
                                withVmIdentity(context, delegate.serve(context, request)))
                .build();
    }

    private CallerRequestHandler newRequestHandler(
            Kernel kernel, RequestIdGenerator ids, TokenIssuer tokens) {
        FleetService fleet = kernel.find(FleetService.NAME, FleetService.class);
        TargetClients clients = kernel.find(TargetClients.NAME, TargetClients.class);
        ServiceTable services = kernel.find(ServiceTable.NAME, ServiceTable.class);
        ConfigurationService configuration =
                kernel.find(ConfigurationService.NAME, ConfigurationService.class);
        Forwarder forwarder = new Forwarder(mClock, clients, fleet, configuration);
        RequestDispatcher exchanges =
                new RequestDispatcher(
                        mClock,
                        kernel.find(ControlLoop.NAME, ControlLoop.class),
                        clients,
                        services,
                        kernel.find(AtMostOnceService.NAME, AtMostOnceService.class),
                        tokens,
                        forwarder,
                        mResponder);
        return new CallerRequestHandler(
                mClock, ids, mReadiness, configuration, services, forwarder, exchanges);
    }

    /**
     * Names this life of this VM in an answer, unless it is one that a forward brought.
     *
     * <p>Guards against a caller that keeps a connection to a VM that is leaving, longer than the
     * answer to its ask holds: the connection is closed after the answers in flight.
     */
    private HttpResponse withVmIdentity(ServiceRequestContext context, HttpResponse response) {
        if (mReadiness.state() == Readiness.State.LEAVING) {
            Futures.whenDone(context.initiateConnectionShutdown(), (done, failure) -> {});
        }
        return response.mapHeaders(
                headers ->
                        headers.contains(CallerHeaders.ANSWERED_BY)
                                ? headers
                                : headers.toBuilder()
                                        .set(CallerHeaders.ANSWERED_BY, mIdentity.toString())
                                        .build());
    }

    /** Returns where callers reach this VM; valid once started. */
    public Endpoint endpoint() {
        InetSocketAddress address = mServer.activePort().localAddress();
        return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mServer = newServer(kernel);
        return mServer.start();
    }

    @Override
    public CompletableFuture<Void> stop() {
        return mServer.stop();
    }
}
