package org.dahliapass.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;

/** An HTTP/1.1 server that listens at one or more addresses and runs on a single event loop. */
public final class HttpServer {
    /** The interval of the timeout checks, by which timeouts may be exceeded. */
    private static final long TIMEOUT_CHECK_MILLIS = 500;

    /**
     * Connections that may wait to be accepted while the event loop is busy. One poll accepts them
     * all, since nothing tells how long one has waited that a poll left behind.
     */
    private static final int BACKLOG = 1_024;

    private static final ComponentLog LOG = ComponentLog.of("http");

    private final EventLoop mLoop;
    private final RequestHandler mHandler;
    private final Clock mClock;
    private final PollMonitor mMonitor;
    private final Supplier<ServerTimeouts> mTimeouts;
    private final PipelineLimits mPipelineLimits;
    private final PipelineListener mPipelineListener;
    private final ConnectionListener mConnectionListener;
    private final List<Channel> mListeners = new ArrayList<>();

    // Used only on the event loop, as are the fields below.
    private final Set<ServerConnection> mConnections = new HashSet<>();

    private final IdleConnections mIdle = new IdleConnections();
    private final LingeringConnections mLingering = new LingeringConnections();

    private boolean mCheckScheduled;

    /** Creates a server that handles the requests of a connection one after another. */
    public HttpServer(
            EventLoopGroup loops,
            RequestHandler handler,
            Clock clock,
            PollMonitor monitor,
            Supplier<ServerTimeouts> timeouts) {
        this(
                loops,
                handler,
                clock,
                monitor,
                timeouts,
                1,
                PipelineListener.NONE,
                ConnectionListener.NONE);
    }

    /**
     * Creates a server.
     *
     * @param loops a group with one event loop
     * @param handler handles the requests
     * @param clock the clock that measures the timeouts
     * @param monitor records the polls of the event loop
     * @param timeouts supplies the client timeouts; called at each check
     * @param pipelinedRequests the maximum number of requests of one connection that are handled
     *     concurrently, at least 1
     * @param pipelineListener is told how far clients send requests ahead
     * @param connectionListener decides on the connections
     */
    public HttpServer(
            EventLoopGroup loops,
            RequestHandler handler,
            Clock clock,
            PollMonitor monitor,
            Supplier<ServerTimeouts> timeouts,
            int pipelinedRequests,
            PipelineListener pipelineListener,
            ConnectionListener connectionListener) {
        mLoop = loops.next();
        mHandler = handler;
        mClock = clock;
        mMonitor = monitor;
        mTimeouts = timeouts;
        mPipelineLimits = PipelineLimits.of(pipelinedRequests);
        mPipelineListener = pipelineListener;
        mConnectionListener = connectionListener;
    }

    /**
     * Listens at an address, in addition to any earlier ones.
     *
     * @return fails with an {@link OperationException} if the address can't be bound
     */
    public CompletableFuture<Void> listen(Endpoint endpoint) {
        CompletableFuture<Void> started = new CompletableFuture<>();
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mLoop, mLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
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
                                    "The address can't be bound; choose a free port.",
                                    done.cause()));
                });
        return started;
    }

    /**
     * Returns the number of connections whose clients may not have received all of the last
     * response; any thread may call this.
     */
    public int lingeringConnections() {
        return mLingering.count();
    }

    /**
     * Returns how many connections have ended in which way after their last response; any thread
     * may call this.
     */
    public Map<LingerEnd, Integer> lingerEnds() {
        return mLingering.ends();
    }

    /** Closes all listeners and connections; completes once they are closed. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    for (Channel listener : mListeners) {
                        ChannelFuture unused = listener.close();
                    }
                    List.copyOf(mConnections).forEach(ServerConnection::stop);
                    mLoop.execute(() -> stopped.complete(null));
                });
        return stopped;
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            if (!makeRoom()) {
                ChannelFuture unused = channel.close();
                return;
            }
            Runnable onClosed = mConnectionListener.onOpened();
            channel.closeFuture().addListener(closed -> onClosed.run());
            ServerConnection connection =
                    new ServerConnection(
                            mHandler,
                            mClock,
                            mMonitor,
                            mPipelineLimits,
                            mPipelineListener,
                            mIdle,
                            mLingering);
            channel.pipeline().addLast(connection.handlers());
            mConnections.add(connection);
            channel.closeFuture().addListener(closed -> mConnections.remove(connection));
            scheduleTimeoutCheck();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
            LOG.error("Initializing a connection failed.", failure);
            ChannelFuture unused = context.close();
        }
    }

    /**
     * Closes connections until another one is accepted.
     *
     * @return whether it is
     */
    private boolean makeRoom() {
        while (!mConnectionListener.accepts(mConnections.size() - mLingering.reservedCount())) {
            if (!closeOne()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Closes the connection whose client loses least by it: the longest idle one if its client has
     * read all, then one that lingers.
     *
     * @return whether there was one
     */
    private boolean closeOne() {
        Optional<ServerConnection> idle = mIdle.longestIdle();
        if (mLingering.count() > LingeringConnections.RESERVED_CONNECTIONS
                && !idle.map(ServerConnection::isDelivered).orElse(false)) {
            ServerConnection oldest = mLingering.oldest();
            oldest.endLingering(LingerEnd.NO_ROOM);
            mConnections.remove(oldest);
            return true;
        }
        idle.ifPresent(this::closeIdle);
        return idle.isPresent();
    }

    private void closeIdle(ServerConnection idle) {
        idle.closeIdle();
        mIdle.update(idle, false);
        if (!mLingering.contains(idle)) {
            mConnections.remove(idle);
        }
    }

    /** Schedules the next check, unless one is scheduled or no connection is open. */
    private void scheduleTimeoutCheck() {
        if (mCheckScheduled || mConnections.isEmpty()) {
            return;
        }
        mCheckScheduled = true;
        Future<?> unused =
                mLoop.schedule(
                        this::closeTimedOutConnections,
                        TIMEOUT_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void closeTimedOutConnections() {
        mCheckScheduled = false;
        try {
            ServerTimeouts timeouts = mTimeouts.get();
            List.copyOf(mConnections).forEach(connection -> connection.closeIfTimedOut(timeouts));
        } finally {
            // Also after an exception, which must not end the checks.
            scheduleTimeoutCheck();
        }
    }
}
