package org.dahliapass.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;
import org.dahliapass.wire.message.ReplyStatus;

/** The client side of a connection to a peer; matches replies to requests by request id. */
final class PeerConnection extends SimpleChannelInboundHandler<PeerReply> {
    private static final int MAX_CONSECUTIVE_TIMEOUTS = 3;

    /** A request that awaits its reply. */
    private record Pending(
            TrafficKind kind, CompletableFuture<PeerReply> reply, Future<?> timeout) {}

    private final Endpoint mPeer;
    private final LinkFilter mFilter;
    private final TrafficCounters mCounters;
    private final Map<Long, Pending> mPending = new HashMap<>();
    private final Consumer<PeerConnection> mOnClosed;
    private int mConsecutiveTimeouts;

    PeerConnection(
            Endpoint peer,
            LinkFilter filter,
            TrafficCounters counters,
            Consumer<PeerConnection> onClosed) {
        mOnClosed = onClosed;
        mPeer = peer;
        mFilter = filter;
        mCounters = counters;
    }

    Endpoint peer() {
        return mPeer;
    }

    /** Sends a request; must be called on the channel's event loop. */
    void send(
            Channel channel,
            PeerRequest request,
            Duration timeout,
            CompletableFuture<PeerReply> reply) {
        TrafficKind kind = TrafficKind.of(request);
        if (!channel.isActive()) {
            reply.completeExceptionally(failure(kind, "The connection is closed. Try again."));
            return;
        }
        if (!channel.isWritable()) {
            reply.completeExceptionally(failure(kind, "The peer reads too slowly. Try later."));
            return;
        }
        long id = request.getRequestId();
        Future<?> timeoutTask =
                channel.eventLoop()
                        .schedule(
                                () -> onTimeout(channel, id),
                                timeout.toMillis(),
                                TimeUnit.MILLISECONDS);
        mPending.put(id, new Pending(kind, reply, timeoutTask));
        if (!mFilter.allows(mPeer, Direction.OUT)) {
            return;
        }
        mCounters.count(kind, Direction.OUT, request.getSerializedSize());
        Future<?> unused = channel.writeAndFlush(request, channel.voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerReply reply) {
        if (!mFilter.allows(mPeer, Direction.IN)) {
            return;
        }
        mConsecutiveTimeouts = 0;
        mCounters.count(TrafficKind.REPLY, Direction.IN, reply.getSerializedSize());
        Pending pending = mPending.remove(reply.getRequestId());
        if (pending == null) {
            return;
        }
        pending.timeout().cancel(false);
        if (reply.getStatus() == ReplyStatus.OK) {
            pending.reply().complete(reply);
            return;
        }
        pending.reply()
                .completeExceptionally(
                        new RefusedException(
                                operation(pending.kind()),
                                mPeer.toString(),
                                reply.getStatus(),
                                reply.getDetail()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mOnClosed.accept(this);
        for (Pending pending : mPending.values()) {
            pending.timeout().cancel(false);
            pending.reply()
                    .completeExceptionally(
                            failure(pending.kind(), "The connection closed before the reply."));
        }
        mPending.clear();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && mPending.isEmpty()) {
            Future<?> unused = context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Future<?> unused = context.close();
    }

    /**
     * Fails a request and closes the connection after several consecutive timeouts.
     *
     * <p>If the peer vanishes without closing the connection, all requests on it time out even
     * after the peer is reachable again.
     */
    private void onTimeout(Channel channel, long id) {
        Pending pending = mPending.remove(id);
        if (pending == null) {
            return;
        }
        pending.reply()
                .completeExceptionally(failure(pending.kind(), "No reply within the timeout."));
        mConsecutiveTimeouts++;
        if (mConsecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS) {
            Future<?> unused = channel.close();
        }
    }

    private OperationException failure(TrafficKind kind, String message) {
        return new OperationException(operation(kind), mPeer.toString(), message);
    }

    private static String operation(TrafficKind kind) {
        return "request " + kind;
    }
}
