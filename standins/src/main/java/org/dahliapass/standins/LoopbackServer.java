package org.dahliapass.standins;

import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.util.Exceptions;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dahliapass.model.Endpoint;

/** An HTTP/1.1 and h2c server on 127.0.0.1 without request timeouts or limits. */
final class LoopbackServer implements AutoCloseable {
    private static final InetAddress HOST = InetAddress.getLoopbackAddress();

    /** The maximum time that a shutdown waits for requests in flight. */
    private static final Duration GRACE_PERIOD = Duration.ofSeconds(30);

    /**
     * The idle time before the connections are closed. Not zero, because Armeria would then shut
     * down without waiting for responses in flight.
     */
    private static final Duration QUIET_PERIOD = Duration.ofMillis(1);

    /** The time for which a closing h2c connection accepts requests that crossed its GOAWAY. */
    private static final Duration CONNECTION_DRAIN = Duration.ofMillis(100);

    private static final long PORT_POLL_PERIOD_MILLIS = 10;

    private final ChannelGroup mConnections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Server mServer;
    private volatile boolean mRefusing;

    /**
     * Creates the server.
     *
     * @param port the TCP port, 0 for a free one
     * @param services adds the services; a service that throws {@link IllegalArgumentException}
     *     responds with status 400
     */
    LoopbackServer(int port, Consumer<ServerBuilder> services) {
        ServerBuilder builder =
                Server.builder()
                        .http(new InetSocketAddress(HOST, port))
                        .requestTimeoutMillis(0)
                        .childChannelPipelineCustomizer(this::onConnection)
                        .errorHandler(LoopbackServer::toErrorResponse)
                        .connectionDrainDuration(CONNECTION_DRAIN)
                        .gracefulShutdownTimeout(QUIET_PERIOD, GRACE_PERIOD);
        services.accept(builder);
        mServer = builder.build();
    }

    void start() {
        mServer.start().join();
    }

    Endpoint endpoint() {
        return new Endpoint(HOST.getHostAddress(), mServer.activeLocalPort());
    }

    /** Sets whether open and new connections are closed at once. */
    void setRefusing(boolean refusing) {
        mRefusing = refusing;
        if (refusing) {
            closeConnections();
        }
    }

    /** Closes the open connections; new connections are still accepted. */
    void closeConnections() {
        Future<?> unused = mConnections.close();
    }

    /**
     * Stops accepting connections, completes the requests in flight, and returns once the port is
     * free and the last connection is closed.
     */
    @Override
    public void close() {
        // Not joined, because the future completes only after the acceptor's quiet period of 2 s.
        Future<?> unused = mServer.stop();
        awaitPortFree();
        mConnections.newCloseFuture().awaitUninterruptibly();
    }

    private void awaitPortFree() {
        CompletableFuture<Void> free = new CompletableFuture<>();
        Future<?> check =
                CommonPools.workerGroup()
                        .next()
                        .scheduleAtFixedRate(
                                () -> {
                                    if (mServer.activePorts().isEmpty()) {
                                        free.complete(null);
                                    }
                                },
                                0,
                                PORT_POLL_PERIOD_MILLIS,
                                TimeUnit.MILLISECONDS);
        free.join();
        check.cancel(false);
    }

    private void onConnection(ChannelPipeline pipeline) {
        if (mRefusing) {
            Future<?> unused = pipeline.channel().close();
            return;
        }
        mConnections.add(pipeline.channel());
    }

    /** Returns status 400 for an invalid argument; null leaves other failures to Armeria. */
    private static HttpResponse toErrorResponse(ServiceRequestContext context, Throwable failure) {
        Throwable cause = Exceptions.peel(failure);
        return cause instanceof IllegalArgumentException
                ? HttpResponse.of(
                        HttpStatus.BAD_REQUEST,
                        MediaType.PLAIN_TEXT_UTF_8,
                        String.valueOf(cause.getMessage()))
                : null;
    }
}
