package org.dahliapass.entry;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.dahliapass.http.ResponseValidation;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.Endpoint;

/** The HTTP clients for targets and peer VMs, with a shared connection pool. */
public final class TargetClients implements KernelService {
    /** The name under which the clients are registered with the kernel. */
    public static final String NAME = "target-clients";

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration STALL_CHECK_PERIOD = Duration.ofSeconds(1);

    private final StalledResponseMonitor mStallMonitor;

    /** Bounds the connections per target, since each event loop has its own. */
    private static final int MAX_EVENT_LOOPS = 8;

    private final EventLoopGroup mEventLoops =
            EventLoopGroups.newEventLoopGroup(
                    Math.min(MAX_EVENT_LOOPS, Runtime.getRuntime().availableProcessors()),
                    "traffic");
    private final Map<Endpoint, WebClient> mClients = new ConcurrentHashMap<>();
    private final ClientFactory mFactory =
            ClientFactory.builder()
                    .connectTimeout(CONNECT_TIMEOUT)
                    .idleTimeout(IDLE_TIMEOUT)
                    .useHttp1Pipelining(false)
                    .workerGroup(mEventLoops, false)
                    .eventLoopSchedulerFactory(SameLoopScheduler::new)
                    .option(
                            ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
                            ResponseValidation::install)
                    .build();

    TargetClients(Clock clock) {
        mStallMonitor = new StalledResponseMonitor(clock);
    }

    /** Returns the monitor that aborts stalled responses. */
    StalledResponseMonitor stallMonitor() {
        return mStallMonitor;
    }

    /**
     * A request that was sent.
     *
     * @param response the streaming response
     * @param context the request context, which can change the timeout
     */
    public record SentRequest(HttpResponse response, ClientRequestContext context) {}

    /** Sends a request; {@code timeout} applies until it is changed through the context. */
    public SentRequest send(Endpoint endpoint, HttpRequest request, Duration timeout) {
        WebClient client = mClients.computeIfAbsent(endpoint, this::newClient);
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            HttpResponse response = client.execute(request);
            ClientRequestContext context = captor.get();
            context.setResponseTimeout(timeout);
            return new SentRequest(response, context);
        }
    }

    /** Returns the event loops shared by the caller server and the clients. */
    EventLoopGroup eventLoops() {
        return mEventLoops;
    }

    private WebClient newClient(Endpoint endpoint) {
        return WebClient.builder("h1c://" + endpoint)
                .factory(mFactory)
                .responseTimeoutMillis(0)
                .maxResponseLength(0)
                .build();
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        kernel.find(ControlLoop.NAME, ControlLoop.class)
                .scheduleWithFixedDelay(STALL_CHECK_PERIOD, mStallMonitor::abortStalled);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        Futures.whenDone(mFactory.closeAsync(), (ignored, failure) -> shutDown(stopped));
        return stopped;
    }

    private void shutDown(CompletableFuture<Void> stopped) {
        Future<?> unused =
                mEventLoops
                        .shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .addListener(done -> stopped.complete(null));
    }
}
