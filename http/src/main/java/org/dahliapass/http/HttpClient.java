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
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.model.Endpoint;

/** An HTTP/1.1 client that reuses connections and runs on a single event loop. */
public final class HttpClient {
    private static final long IDLE_CHECK_MILLIS = 1_000;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final long mIdleMillis;
    private final Bootstrap mBootstrap;

    // Used only on the event loop, as are the fields below.
    private final Map<Endpoint, Deque<ClientConnection>> mIdle = new HashMap<>();

    private final Set<ClientConnection> mOpen = new HashSet<>();
    private boolean mCheckScheduled;

    /**
     * Creates a client.
     *
     * @param loops a group with one event loop
     * @param clock the clock that measures idle times
     * @param connectTimeout the time limit for opening a connection
     * @param idle how long an idle connection is kept for reuse
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

    /** Returns the number of open connections; to be called on the event loop. */
    public int openConnections() {
        return mOpen.size();
    }

    /** Returns the event loop on which the client runs. */
    public EventLoop loop() {
        return mLoop;
    }

    /**
     * Sends a request that is sent once only; must be called on the event loop.
     *
     * @see #send(Endpoint, HttpMethod, String, HttpHeaders, ByteBuf, UsedConnections,
     *     ResponseListener)
     */
    public ClientCall send(
            Endpoint server,
            HttpMethod method,
            String path,
            HttpHeaders headers,
            ByteBuf body,
            ResponseListener listener) {
        return send(server, method, path, headers, body, new UsedConnections(), listener);
    }

    /**
     * Sends a request; must be called on the event loop.
     *
     * @param headers the headers, owned by the call from now on; Content-Length is added
     * @param body the body, in a heap buffer
     * @param used the connections that have carried the request; the one that carries it now is
     *     added
     * @param listener receives the response; only {@link ResponseListener#onConnected} may be
     *     called before this method returns
     */
    public ClientCall send(
            Endpoint server,
            HttpMethod method,
            String path,
            HttpHeaders headers,
            ByteBuf body,
            UsedConnections used,
            ResponseListener listener) {
        ClientCall call = new ClientCall(method, path, headers, body, used, listener);
        ClientConnection idleConnection = pollIdle(server, used);
        if (idleConnection != null) {
            sendIfWanted(server, idleConnection, call, true);
        } else {
            connect(server, call);
        }
        return call;
    }

    /** Removes and returns the newest idle connection that was not used; null if there is none. */
    private ClientConnection pollIdle(Endpoint server, UsedConnections used) {
        Deque<ClientConnection> idle = mIdle.get(server);
        if (idle == null) {
            return null;
        }
        long now = mClock.millis();
        Iterator<ClientConnection> newestFirst = idle.descendingIterator();
        while (newestFirst.hasNext()) {
            ClientConnection newest = newestFirst.next();
            if (used.contains(newest)) {
                continue;
            }
            newestFirst.remove();
            if (!newest.isStale(now, mIdleMillis) && newest.pollOpen()) {
                return newest;
            }
            newest.close();
        }
        return null;
    }

    private void connect(Endpoint server, ClientCall call) {
        ClientConnection connection = new ClientConnection(idle -> addIdle(server, idle));
        open(server, connection)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                call.fail(
                                        new NotSentException(
                                                "The connection could not be opened.",
                                                done.cause()));
                            } else {
                                sendIfWanted(server, connection, call, false);
                            }
                        });
    }

    /** Sends a request on an open connection, or keeps the connection for another one. */
    private void sendIfWanted(
            Endpoint server, ClientConnection connection, ClientCall call, boolean reused) {
        if (!call.isFinished() && call.isWanted(reused)) {
            connection.send(call);
            return;
        }
        addIdle(server, connection);
        mLoop.execute(
                () -> call.fail(new NotSentException("The request is no longer wanted.", null)));
    }

    /**
     * Opens a connection to find out whether a server listens at an address, and keeps it for
     * reuse.
     *
     * @return false if the connection was refused or timed out; fails if it could not be attempted,
     *     for lack of file descriptors or a route; completes on the event loop
     */
    public CompletableFuture<Boolean> isListening(Endpoint server) {
        CompletableFuture<Boolean> listening = new CompletableFuture<>();
        ClientConnection connection = new ClientConnection(idle -> addIdle(server, idle));
        open(server, connection)
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                addIdle(server, connection);
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

    private void addIdle(Endpoint server, ClientConnection connection) {
        long now = mClock.millis();
        connection.setIdleSince(now);
        mIdle.computeIfAbsent(server, key -> new ArrayDeque<>()).addLast(connection);
        scheduleIdleCheck();
    }

    /** Schedules the next check, unless one is scheduled or no connection is idle. */
    private void scheduleIdleCheck() {
        if (mCheckScheduled || mIdle.isEmpty()) {
            return;
        }
        mCheckScheduled = true;
        Future<?> unused =
                mLoop.schedule(
                        this::closeStaleConnections, IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void closeStaleConnections() {
        mCheckScheduled = false;
        long now = mClock.millis();
        mIdle.values().forEach(idle -> idle.removeIf(connection -> closeIfStale(connection, now)));
        mIdle.values().removeIf(Deque::isEmpty);
        scheduleIdleCheck();
    }

    private boolean closeIfStale(ClientConnection connection, long now) {
        boolean stale = !connection.isOpen() || connection.isStale(now, mIdleMillis);
        if (stale) {
            connection.close();
        }
        return stale;
    }

    /**
     * Sends a request and collects its response; may be called on any thread.
     *
     * @param limit the time limit for the response
     * @return fails with a {@link NotSentException} if nothing was sent, with a {@link
     *     java.util.concurrent.TimeoutException} after the limit, or with the cause of a truncated
     *     response
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
                () -> {
                    try {
                        collector.startTimeout(
                                send(server, method, path, headers, body, collector));
                    } catch (RuntimeException | Error failure) {
                        // Without it, the future never completes.
                        collector.onFailure(failure);
                    }
                });
        return collector.response();
    }

    /** Closes all connections; completes once they are closed. */
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
            ResponseValidation.install(channel.pipeline());
            channel.pipeline().addLast(mConnection.codec(), mConnection);
            mOpen.add(mConnection);
            channel.closeFuture().addListener(closed -> mOpen.remove(mConnection));
        }
    }
}
