package org.dahliapass.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.model.Endpoint;

/** Sends HTTP/1.1 requests on kept connections, on the event loop of a group that has one. */
public final class HttpClient {
    /** How often idle connections are looked at, while there are any. */
    private static final long CHECK_MILLIS = 1_000;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final long mIdleMillis;
    private final Bootstrap mBootstrap;

    /** Belongs to the event loop, as all below. */
    private final Map<Endpoint, Deque<ClientConnection>> mIdle = new HashMap<>();

    private final Set<ClientConnection> mOpen = new HashSet<>();
    private boolean mChecking;

    /**
     * Creates a client.
     *
     * @param loops has one event loop, on which everything runs
     * @param clock measures how long connections are idle
     * @param connectTimeout how long a connection may take to open
     * @param idle how long an idle connection is kept
     */
    public HttpClient(EventLoopGroup loops, Clock clock, Duration connectTimeout, Duration idle) {
        mLoop = loops.next();
        mClock = clock;
        mIdleMillis = idle.toMillis();
        mBootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .disableResolver()
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) connectTimeout.toMillis());
    }

    /** Returns the event loop on which everything runs. */
    public EventLoop loop() {
        return mLoop;
    }

    /**
     * Sends a request; to be called on the event loop.
     *
     * @param headers its headers, which the call takes over; the body's length is added
     * @param body its body, on the heap
     * @param listener follows the answer; never called before this method returns
     */
    public ClientCall send(
            Endpoint server,
            HttpMethod method,
            String path,
            HttpHeaders headers,
            ByteBuf body,
            ResponseListener listener) {
        ClientCall call = new ClientCall(method, path, headers, body, listener);
        ClientConnection kept = takeIdle(server);
        if (kept != null) {
            kept.send(call);
        } else {
            connect(server, call);
        }
        return call;
    }

    private ClientConnection takeIdle(Endpoint server) {
        Deque<ClientConnection> idle = mIdle.get(server);
        long now = mClock.millis();
        while (idle != null && !idle.isEmpty()) {
            ClientConnection newest = idle.pollLast();
            if (newest.isOpen() && !newest.isStale(now, mIdleMillis)) {
                return newest;
            }
            newest.close();
        }
        return null;
    }

    private void connect(Endpoint server, ClientCall call) {
        ClientConnection connection = new ClientConnection(free -> keep(server, free));
        open(server, connection)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                call.fail(new NotSentException("No connection.", done.cause()));
                            } else if (call.isFinished()) {
                                keep(server, connection);
                            } else {
                                connection.send(call);
                            }
                        });
    }

    /**
     * Opens a connection to find out whether anything listens at an address; it is kept for use.
     *
     * @return false if it was refused or took too long; fails if this VM could not try, for want of
     *     descriptors or of a way; completes on the event loop
     */
    public CompletableFuture<Boolean> isListening(Endpoint server) {
        CompletableFuture<Boolean> listening = new CompletableFuture<>();
        ClientConnection connection = new ClientConnection(free -> keep(server, free));
        open(server, connection)
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                keep(server, connection);
                                listening.complete(true);
                            } else if (done.cause() instanceof ConnectException) {
                                listening.complete(false);
                            } else {
                                listening.completeExceptionally(done.cause());
                            }
                        });
        return listening;
    }

    private ChannelFuture open(Endpoint server, ClientConnection connection) {
        return mBootstrap
                .clone()
                .handler(new Initializer(connection))
                .connect(new InetSocketAddress(server.host(), server.port()));
    }

    private void keep(Endpoint server, ClientConnection connection) {
        long now = mClock.millis();
        connection.setIdleSince(now);
        mIdle.computeIfAbsent(server, unknown -> new ArrayDeque<>()).addLast(connection);
        planCheck();
    }

    /** Plans the next look at idle connections; none while there is no such connection. */
    private void planCheck() {
        if (mChecking || mIdle.isEmpty()) {
            return;
        }
        mChecking = true;
        Future<?> unused = mLoop.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        mChecking = false;
        long now = mClock.millis();
        mIdle.values().forEach(idle -> idle.removeIf(one -> dropIfStale(one, now)));
        mIdle.values().removeIf(Deque::isEmpty);
        planCheck();
    }

    private boolean dropIfStale(ClientConnection connection, long now) {
        boolean stale = !connection.isOpen() || connection.isStale(now, mIdleMillis);
        if (stale) {
            connection.close();
        }
        return stale;
    }

    /**
     * Sends a request and collects its answer; any thread may call this.
     *
     * @param limit how long the answer may take
     * @return fails with a {@link NotSentException} if nothing was sent, with a {@link
     *     java.util.concurrent.TimeoutException} after the limit, or with what broke the answer off
     */
    public CompletableFuture<ClientResponse> fetch(
            Endpoint server,
            HttpMethod method,
            String path,
            HttpHeaders headers,
            ByteBuf body,
            Duration limit) {
        ResponseAggregator collector = new ResponseAggregator(mLoop, limit);
        mLoop.execute(
                () -> collector.startTimeout(send(server, method, path, headers, body, collector)));
        return collector.response();
    }

    /** Closes all connections. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    List.copyOf(mOpen).forEach(ClientConnection::close);
                    mLoop.execute(() -> stopped.complete(null));
                });
        return stopped;
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        private final ClientConnection mConnection;

        private Initializer(ClientConnection connection) {
            mConnection = connection;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline().addLast(mConnection.guard(), mConnection.codec(), mConnection);
            mOpen.add(mConnection);
            channel.closeFuture().addListener(closed -> mOpen.remove(mConnection));
        }
    }
}
