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
    private static final Duration DRAIN_LIMIT = Duration.ofMinutes(10);

    private final VmSettings mSettings;
    private final VmIdentity mIdentity;
    private final Clock mClock;
    private final AnswerObserver mObserver;
    private final Readiness mReadiness;
    private Server mServer;

    CallerServer(
            VmSettings settings,
            VmIdentity identity,
            Clock clock,
            AnswerObserver observer,
            Readiness readiness) {
        mSettings = settings;
        mIdentity = identity;
        mClock = clock;
        mObserver = observer;
        mReadiness = readiness;
    }

    private Server newServer(Kernel kernel) {
        FleetService fleet = kernel.find(FleetService.NAME, FleetService.class);
        OnceService once = kernel.find(OnceService.NAME, OnceService.class);
        RequestIds ids = new RequestIds(mIdentity);
        Tokens tokens = new Tokens(mClock, fleet, once.reach());
        ConfigurationService configuration =
                kernel.find(ConfigurationService.NAME, ConfigurationService.class);
        AskHandler asks = new AskHandler(mSettings, ids, fleet, configuration, tokens, mReadiness);
        return Server.builder()
                .port(
                        new InetSocketAddress(mSettings.address(), mSettings.callersPort()),
                        SessionProtocol.HTTP)
                .service("/ask", asks)
                .service("/outcomes/{customer}/{key}", new OutcomeHandler(ids, once, tokens))
                .serviceUnder(ServicePath.PREFIX, requests(kernel, ids, tokens))
                .workerGroup(kernel.find(TargetClients.NAME, TargetClients.class).loops(), false)
                .requestTimeoutMillis(0)
                .maxRequestLength(0)
                .gracefulShutdown(
                        GracefulShutdown.builder()
                                .quietPeriod(QUIET_PERIOD)
                                .timeout(DRAIN_LIMIT)
                                .build())
                .decorator(
                        (delegate, context, request) ->
                                signed(context, delegate.serve(context, request)))
                .build();
    }

    private RequestHandler requests(Kernel kernel, RequestIds ids, Tokens tokens) {
        FleetService fleet = kernel.find(FleetService.NAME, FleetService.class);
        TargetClients clients = kernel.find(TargetClients.NAME, TargetClients.class);
        ServiceTable services = kernel.find(ServiceTable.NAME, ServiceTable.class);
        ConfigurationService configuration =
                kernel.find(ConfigurationService.NAME, ConfigurationService.class);
        Forwarder forwarder = new Forwarder(mClock, clients, fleet, configuration);
        ExchangeFactory exchanges =
                new ExchangeFactory(
                        mClock,
                        kernel.find(ControlLoop.NAME, ControlLoop.class),
                        clients,
                        services,
                        kernel.find(OnceService.NAME, OnceService.class),
                        tokens,
                        forwarder,
                        mObserver);
        return new RequestHandler(
                mClock, ids, mReadiness, configuration, services, forwarder, exchanges);
    }

    /**
     * Names this life of this VM in an answer, unless it is one that a forward brought.
     *
     * <p>Guards against a caller that keeps a connection to a VM that is leaving, longer than the
     * answer to its ask holds: the connection is closed after the answers in flight.
     */
    private HttpResponse signed(ServiceRequestContext context, HttpResponse response) {
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
