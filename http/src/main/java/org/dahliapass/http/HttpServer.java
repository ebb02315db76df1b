package org.dahliapass.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;

/** Serves HTTP/1.1 at some addresses, on the event loop of a group that has one. */
public final class HttpServer {
    /** How often connections are looked at for clients that take too long; adds to the limits. */
    private static final long CHECK_MILLIS = 500;

    /** Connections that may wait to be accepted while the loop is busy: a burst of callers. */
    private static final int BACKLOG = 1_024;

    private static final ComponentLog LOG = ComponentLog.of("http");

    private final EventLoop mLoop;
    private final RequestHandler mHandler;
    private final Clock mClock;
    private final Supplier<ServerTimeouts> mLimits;
    private final List<Channel> mListeners = new ArrayList<>();

    /** Belongs to the event loop. */
    private final Set<ServerConnection> mConnections = new HashSet<>();

    private boolean mChecking;

    /**
     * Creates a server.
     *
     * @param loops has one event loop, on which everything runs
     * @param handler takes the requests
     * @param clock measures how long clients take
     * @param limits how long they may take; asked again at each check
     */
    public HttpServer(
            EventLoopGroup loops,
            RequestHandler handler,
            Clock clock,
            Supplier<ServerTimeouts> limits) {
        mLoop = loops.next();
        mHandler = handler;
        mClock = clock;
        mLimits = limits;
    }

    /**
     * Listens at one more address.
     *
     * @return fails with a {@link OperationException} if the address can't be used
     */
    public CompletableFuture<Void> listen(Endpoint endpoint) {
        CompletableFuture<Void> started = new CompletableFuture<>();
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mLoop, mLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new Initializer())
                        .bind(new InetSocketAddress(endpoint.host(), endpoint.port()));
        mListeners.add(bound.channel());
        bound.addListener(
                done -> {
                    if (done.isSuccess()) {
                        started.complete(null);
                        return;
                    }
                    started.completeExceptionally(
                            new OperationException(
                                    "listen for requests",
                                    endpoint.toString(),
                                    "The port can't be used.",
                                    done.cause()));
                });
        return started;
    }

    /** Closes all addresses and connections; completes once they are closed. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    for (Channel listener : mListeners) {
                        ChannelFuture unused = listener.close();
                    }
                    List.copyOf(mConnections).forEach(ServerConnection::close);
                    mLoop.execute(() -> stopped.complete(null));
                });
        return stopped;
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            ServerConnection connection = new ServerConnection(mHandler, mClock);
            channel.pipeline().addLast(connection.codec(), connection);
            mConnections.add(connection);
            channel.closeFuture().addListener(closed -> mConnections.remove(connection));
            planCheck();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
            LOG.error("A connection could not be set up.", failure);
            ChannelFuture unused = context.close();
        }
    }

    /** Plans the next look at all connections; none while there is no connection. */
    private void planCheck() {
        if (mChecking || mConnections.isEmpty()) {
            return;
        }
        mChecking = true;
        Future<?> unused = mLoop.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        mChecking = false;
        ServerTimeouts limits = mLimits.get();
        List.copyOf(mConnections).forEach(connection -> connection.closeIfTimedOut(limits));
        planCheck();
    }
}
