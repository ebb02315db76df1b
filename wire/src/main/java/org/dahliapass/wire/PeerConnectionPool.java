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

/** Keeps one connection to each peer that this process sends requests to. */
final class PeerConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int IDLE_SECONDS = 60;

    /** A connection that is open or being opened. */
    private record Link(PeerConnection connection, ChannelFuture connected) {}

    private final Map<Endpoint, Link> mLinks = new ConcurrentHashMap<>();
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
            Link link = mLinks.computeIfAbsent(peer, this::open);
            link.connected().addListener(done -> onConnected(peer, link, request, timeout, reply));
        } catch (OperationException failure) {
            reply.completeExceptionally(failure);
        }
        return reply;
    }

    void close() {
        for (Link link : mLinks.values()) {
            ChannelFuture unused = link.connected().channel().close();
        }
    }

    private void onConnected(
            Endpoint peer,
            Link link,
            PeerRequest request,
            Duration timeout,
            CompletableFuture<PeerReply> reply) {
        if (!link.connected().isSuccess()) {
            mLinks.remove(peer, link);
            reply.completeExceptionally(
                    new OperationException(
                            "connect",
                            peer.toString(),
                            "The peer can't be reached. Check that it runs.",
                            link.connected().cause()));
            return;
        }
        link.connection().send(link.connected().channel(), request, timeout, reply);
    }

    private void forget(PeerConnection closed) {
        mLinks.computeIfPresent(
                closed.peer(), (peer, link) -> link.connection() == closed ? null : link);
    }

    private Link open(Endpoint peer) {
        PeerConnection connection = new PeerConnection(peer, mFilter, mCounters, this::forget);
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
                                        MessageFraming.addTo(
                                                pipeline, PeerReply.getDefaultInstance());
                                        pipeline.addLast(new IdleStateHandler(0, 0, IDLE_SECONDS));
                                        pipeline.addLast(connection);
                                    }
                                });
        ChannelFuture connected = bootstrap.connect(Addresses.toSocketAddress(peer));
        return new Link(connection, connected);
    }
}
