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

/** The HTTP server for callers: discovery, requests and outcomes of at-most-once operations. */
public final class CallerServer implements KernelService {
    /** The name under which the server is registered with the kernel. */
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
        AtMostOnceService operations = kernel.find(AtMostOnceService.NAME, AtMostOnceService.class);
        RequestIdGenerator ids = new RequestIdGenerator(mIdentity);
        TokenIssuer tokenIssuer = new TokenIssuer(mClock, fleet, operations.witnessReachability());
        ConfigurationService configuration =
                kernel.find(ConfigurationService.NAME, ConfigurationService.class);
        DiscoveryHandler discovery =
                new DiscoveryHandler(mSettings, ids, fleet, configuration, tokenIssuer, mReadiness);
        return Server.builder()
                .port(
                        new InetSocketAddress(mSettings.address(), mSettings.callersPort()),
                        SessionProtocol.HTTP)
                .service("/ask", discovery)
                .service(
                        "/outcomes/{customer}/{key}",
                        new OutcomeHandler(ids, operations, tokenIssuer))
                .serviceUnder(ServicePath.PREFIX, newRequestHandler(kernel, ids, tokenIssuer))
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
            Kernel kernel, RequestIdGenerator ids, TokenIssuer tokenIssuer) {
        FleetService fleet = kernel.find(FleetService.NAME, FleetService.class);
        TargetClients clients = kernel.find(TargetClients.NAME, TargetClients.class);
        ServiceTable services = kernel.find(ServiceTable.NAME, ServiceTable.class);
        ConfigurationService configuration =
                kernel.find(ConfigurationService.NAME, ConfigurationService.class);
        Forwarder forwarder = new Forwarder(mClock, clients, fleet, configuration);
        RequestDispatcher dispatcher =
                new RequestDispatcher(
                        mClock,
                        kernel.find(ControlLoop.NAME, ControlLoop.class),
                        clients,
                        services,
                        kernel.find(AtMostOnceService.NAME, AtMostOnceService.class),
                        tokenIssuer,
                        forwarder,
                        mResponder);
        return new CallerRequestHandler(
                mClock, ids, mReadiness, configuration, services, forwarder, dispatcher);
    }

    /**
     * Returns the response with this VM's identity, or unchanged if another VM's is present.
     *
     * <p>Closes the connection while the VM is leaving: otherwise a keep-alive connection would
     * outlive the discovery response that named this VM.
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

    /** Returns the caller server's address; valid once started. */
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
