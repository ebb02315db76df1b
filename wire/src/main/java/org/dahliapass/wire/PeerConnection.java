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

/** The requester's end of one connection: pairs replies with requests by their id. */
final class PeerConnection extends SimpleChannelInboundHandler<PeerReply> {
    private static final int MOST_SILENT_TIMEOUTS = 3;

    /** A request that waits for its reply. */
    private record Pending(
            TrafficKind kind, CompletableFuture<PeerReply> reply, Future<?> timeout) {}

    private final Endpoint mPeer;
    private final LinkFilter mFilter;
    private final TrafficCounters mCounters;
    private final Map<Long, Pending> mPending = new HashMap<>();
    private final Consumer<PeerConnection> mOnClosed;
    private int mSilentTimeouts;

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

    /** Sends a request; called on the channel's own thread. */
    void send(
            Channel channel,
            PeerRequest request,
            Duration timeout,
            CompletableFuture<PeerReply> reply) {
        TrafficKind kind = TrafficKind.of(request);
        if (!channel.isActive()) {
            reply.completeExceptionally(failure(kind, "The connection was closed. Try again."));
            return;
        }
        if (!channel.isWritable()) {
            reply.completeExceptionally(failure(kind, "The peer reads too slowly. Try later."));
            return;
        }
        long id = request.getRequestId();
        Future<?> timer =
                channel.eventLoop()
                        .schedule(
                                () -> onTimeout(channel, id),
                                timeout.toMillis(),
                                TimeUnit.MILLISECONDS);
        mPending.put(id, new Pending(kind, reply, timer));
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
        mSilentTimeouts = 0;
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
                                step(pending.kind()),
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
     * Guards against a connection whose other end vanished without a word: every request on it
     * would time out while the peer is reachable again. After a few timeouts in a row without any
     * reply it is closed, and the next request opens a new one.
     */
    private void onTimeout(Channel channel, long id) {
        Pending pending = mPending.remove(id);
        if (pending == null) {
            return;
        }
        pending.reply().completeExceptionally(failure(pending.kind(), "No reply in time."));
        mSilentTimeouts++;
        if (mSilentTimeouts >= MOST_SILENT_TIMEOUTS) {
            Future<?> unused = channel.close();
        }
    }

    private OperationException failure(TrafficKind kind, String message) {
        return new OperationException(step(kind), mPeer.toString(), message);
    }

    private static String step(TrafficKind kind) {
        return "request " + kind;
    }
}
