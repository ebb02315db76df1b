package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.GracefulShutdown;
import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.Endpoint;

/** The HTTP server for callers: asks, requests, outcomes of guarded operations. */
public final class CallerServer implements KernelService {
    /** The name under which the kernel holds the server. */
    public static final String NAME = "caller-server";

    private static final Duration QUIET_PERIOD = Duration.ofMillis(200);
    private static final Duration DRAIN_LIMIT = Duration.ofMinutes(10);

    private final Server mServer;

    CallerServer(
            VmSettings settings,
            String identity,
            AskHandler asks,
            RequestHandler requests,
            OutcomeHandler outcomes) {
        mServer =
                Server.builder()
                        .port(
                                new InetSocketAddress(settings.address(), settings.callersPort()),
                                SessionProtocol.HTTP)
                        .service("/ask", asks)
                        .service("/outcomes/{customer}/{key}", outcomes)
                        .serviceUnder(ServicePath.PREFIX, requests)
                        .requestTimeoutMillis(0)
                        .maxRequestLength(0)
                        .gracefulShutdown(
                                GracefulShutdown.builder()
                                        .quietPeriod(QUIET_PERIOD)
                                        .timeout(DRAIN_LIMIT)
                                        .build())
                        .decorator(
                                (delegate, context, request) -> {
                                    HttpResponse response = delegate.serve(context, request);
                                    return response.mapHeaders(
                                            headers -> headers.toBuilder()
                                                    .setIfAbsent(
                                                            CallerHeaders.ANSWERED_BY, identity)
                                                    .build());
                                })
                        .build();
    }

    /** Returns where callers reach this VM; valid once started. */
    public Endpoint endpoint() {
        InetSocketAddress address = mServer.activePort().localAddress();
        return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        return mServer.start();
    }

    @Override
    public CompletableFuture<Void> stop() {
        return mServer.stop();
    }
}
