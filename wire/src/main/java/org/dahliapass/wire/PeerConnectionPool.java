package org.dahliapass.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;

/** A pool with one connection to each peer that this process sends requests to. */
final class PeerConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int IDLE_SECONDS = 60;

    /** A connection that is open or opening. */
    private record PooledConnection(PeerConnection connection, ChannelFuture connectFuture) {}

    private final Map<Endpoint, PooledConnection> mConnections = new ConcurrentHashMap<>();
    private final EventLoopGroup mGroup;
    private final LinkFilter mFilter;
    private final TrafficCounters mCounters;

    PeerConnectionPool(EventLoopGroup group, LinkFilter filter, TrafficCounters counters) {
        mGroup = group;
        mFilter = filter;
        mCounters = counters;
    }

    CompletableFuture<PeerReply> request(Endpoint peer, PeerRequest request, Duration timeout) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        try {
            PooledConnection pooled = mConnections.computeIfAbsent(peer, this::open);
            pooled.connectFuture()
                    .addListener(done -> onConnected(peer, pooled, request, timeout, reply));
        } catch (OperationException failure) {
            reply.completeExceptionally(failure);
        }
        return reply;
    }

    void close() {
        for (PooledConnection pooled : mConnections.values()) {
            ChannelFuture unused = pooled.connectFuture().channel().close();
        }
    }

    private void onConnected(
            Endpoint peer,
            PooledConnection pooled,
            PeerRequest request,
            Duration timeout,
            CompletableFuture<PeerReply> reply) {
        if (!pooled.connectFuture().isSuccess()) {
            mConnections.remove(peer, pooled);
            reply.completeExceptionally(
                    new OperationException(
                            "connect",
                            peer.toString(),
                            "The peer can't be reached. Check that it is running.",
                            pooled.connectFuture().cause()));
            return;
        }
        pooled.connection().send(pooled.connectFuture().channel(), request, timeout, reply);
    }

    private void remove(PeerConnection closed) {
        mConnections.computeIfPresent(
                closed.peer(), (peer, pooled) -> pooled.connection() == closed ? null : pooled);
    }

    private PooledConnection open(Endpoint peer) {
        PeerConnection connection = new PeerConnection(peer, mFilter, mCounters, this::remove);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        ChannelPipeline pipeline = channel.pipeline();
                                        MessageFraming.addCodec(
                                                pipeline, PeerReply.getDefaultInstance());
                                        pipeline.addLast(new IdleStateHandler(0, 0, IDLE_SECONDS));
                                        pipeline.addLast(connection);
                                    }
                                });
        ChannelFuture connectFuture = bootstrap.connect(Addresses.toSocketAddress(peer));
        return new PooledConnection(connection, connectFuture);
    }
}
