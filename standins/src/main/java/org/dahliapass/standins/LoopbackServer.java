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

/** An HTTP/1.1 and h2c server on 127.0.0.1 without limits on time or number of requests. */
final class LoopbackServer implements AutoCloseable {
    private static final InetAddress HOST = InetAddress.getLoopbackAddress();

    /** How long a stop waits for the work in flight. */
    private static final Duration GRACE = Duration.ofSeconds(30);

    /**
     * How long no request may be in flight before the connections are closed. Not zero: Armeria
     * takes that as a stop which doesn't wait, and answers in flight would be cut off.
     */
    private static final Duration QUIET_PERIOD = Duration.ofMillis(1);

    /** How long a closing h2c connection still takes requests that crossed its GOAWAY. */
    private static final Duration CONNECTION_DRAIN = Duration.ofMillis(100);

    private static final long PORT_CHECK_MILLIS = 10;

    private final ChannelGroup mConnections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Server mServer;
    private volatile boolean mRefusing;

    /**
     * Creates the server.
     *
     * @param port the TCP port, 0 for a free one
     * @param services adds the services; one that throws {@link IllegalArgumentException} answers
     *     400
     */
    LoopbackServer(int port, Consumer<ServerBuilder> services) {
        ServerBuilder builder =
                Server.builder()
                        .http(new InetSocketAddress(HOST, port))
                        .requestTimeoutMillis(0)
                        .childChannelPipelineCustomizer(this::onConnection)
                        .errorHandler(LoopbackServer::onFailure)
                        .connectionDrainDuration(CONNECTION_DRAIN)
                        .gracefulShutdownTimeout(QUIET_PERIOD, GRACE);
        services.accept(builder);
        mServer = builder.build();
    }

    void start() {
        mServer.start().join();
    }

    Endpoint endpoint() {
        return new Endpoint(HOST.getHostAddress(), mServer.activeLocalPort());
    }

    /** Starts or ends to close connections as soon as they are opened. */
    void setRefusing(boolean refusing) {
        mRefusing = refusing;
        if (refusing) {
            closeConnections();
        }
    }

    /** Closes the open connections; new ones are taken. */
    void closeConnections() {
        Future<?> unused = mConnections.close();
    }

    /**
     * Stops: refuses new connections, ends the requests in flight, and returns once the port is
     * free and the last connection is closed.
     */
    @Override
    public void close() {
        // Not joined: its end comes only after the acceptor threads' quiet period of two seconds.
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
                                PORT_CHECK_MILLIS,
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

    /** Returns the answer to a wrong request; null leaves other failures to Armeria. */
    private static HttpResponse onFailure(ServiceRequestContext context, Throwable failure) {
        Throwable cause = Exceptions.peel(failure);
        return cause instanceof IllegalArgumentException
                ? HttpResponse.of(
                        HttpStatus.BAD_REQUEST,
                        MediaType.PLAIN_TEXT_UTF_8,
                        String.valueOf(cause.getMessage()))
                : null;
    }
}
