package org.dahliapass.entry;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.Endpoint;

/** Keeps one HTTP client per target and per peer VM, all on one pool of connections. */
public final class TargetClients implements KernelService {
    /** The name under which the kernel holds the clients. */
    public static final String NAME = "target-clients";

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration SWEEP = Duration.ofSeconds(1);

    private final StallGuard mStalls;
    private final Map<Endpoint, WebClient> mClients = new ConcurrentHashMap<>();
    private final ClientFactory mFactory =
            ClientFactory.builder()
                    .connectTimeout(CONNECT_TIMEOUT)
                    .idleTimeout(IDLE_TIMEOUT)
                    .useHttp1Pipelining(false)
                    .build();

    TargetClients(Clock clock) {
        mStalls = new StallGuard(clock);
    }

    /** Returns what breaks off answers that stall. */
    StallGuard stalls() {
        return mStalls;
    }

    /**
     * One request that was sent.
     *
     * @param response the answer as it arrives
     * @param context the request's context, by which its timeout is moved
     */
    public record Sent(HttpResponse response, ClientRequestContext context) {}

    /** Sends a request; its timeout runs until {@code timeout} unless it is moved. */
    public Sent send(Endpoint endpoint, HttpRequest request, Duration timeout) {
        WebClient client = mClients.computeIfAbsent(endpoint, this::newClient);
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            HttpResponse response = client.execute(request);
            ClientRequestContext context = captor.get();
            context.setResponseTimeout(timeout);
            return new Sent(response, context);
        }
    }

    /** Forgets the clients of targets that are no longer used. */
    public void retain(java.util.Set<Endpoint> inUse) {
        mClients.keySet().retainAll(inUse);
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
        kernel.find(ControlLoop.NAME, ControlLoop.class).every(SWEEP, mStalls::sweep);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        return mFactory.closeAsync().thenApply(ignored -> null);
    }
}
