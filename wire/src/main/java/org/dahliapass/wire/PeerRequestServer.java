package org.dahliapass.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;
import org.dahliapass.wire.message.ReplyStatus;

/** The answering end of all connections: checks each request and writes its reply. */
@Sharable
final class PeerRequestServer extends SimpleChannelInboundHandler<PeerRequest> {
    private final PeerMessageValidator mGuard;
    private final RequestHandler mHandler;
    private final TrafficCounters mCounters;
    private final Set<Channel> mChannels = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();
    private volatile boolean mStopping;

    PeerRequestServer(
            PeerMessageValidator guard, RequestHandler handler, TrafficCounters counters) {
        mGuard = guard;
        mHandler = handler;
        mCounters = counters;
    }

    /**
     * Answers what is in flight, refuses what comes after, then closes the connections.
     *
     * @return completes when the last answer has been written
     */
    CompletableFuture<Void> drain() {
        mStopping = true;
        if (mInFlight.get() == 0) {
            mDrained.complete(null);
        }
        return mDrained.thenCompose(ignored -> closeAll());
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannels.add(context.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mChannels.remove(context.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerRequest request) {
        TrafficKind kind = TrafficKind.of(request);
        mCounters.count(kind, Direction.IN, request.getSerializedSize());
        ReplyStatus status = mGuard.validate(request);
        if (status == ReplyStatus.OK && kind == TrafficKind.UNKNOWN) {
            status = ReplyStatus.UNKNOWN_REQUEST;
        }
        if (status != ReplyStatus.OK) {
            mCounters.countRefused(status);
            write(context, request, refusal(status, "Refused: see the status."));
            return;
        }
        mInFlight.incrementAndGet();
        if (mStopping) {
            write(context, request, refusal(ReplyStatus.FAILED, "The VM stops. Ask another."));
            finish();
            return;
        }
        CompletableFuture<Void> unused =
                handle(request)
                        .handle(
                                (body, failure) -> {
                                    write(context, request, finished(body, failure));
                                    finish();
                                    return null;
                                });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mCounters.countMalformed();
        ChannelFuture unused = context.close();
    }

    private void finish() {
        if (mInFlight.decrementAndGet() == 0 && mStopping) {
            mDrained.complete(null);
        }
    }

    /**
     * Guards against a handler that throws instead of failing its future: the requester would wait
     * for its timeout, and a stop for an answer that never comes.
     */
    private CompletableFuture<PeerReply> handle(PeerRequest request) {
        try {
            return mHandler.onRequest(request).thenApply(Objects::requireNonNull);
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void write(ChannelHandlerContext context, PeerRequest request, PeerReply reply) {
        PeerReply stamped =
                reply.toBuilder()
                        .setVersion(PeerTransport.VERSION)
                        .setRequestId(request.getRequestId())
                        .build();
        mCounters.count(TrafficKind.REPLY, Direction.OUT, stamped.getSerializedSize());
        ChannelFuture unused = context.writeAndFlush(stamped, context.voidPromise());
    }

    /**
     * Closes the connections; completes when all are closed.
     *
     * <p>Guards against an event loop that is shut down with answers still queued: it closes its
     * channels before it writes, which shows as a request cut off by a planned stop. A close is
     * queued behind the answers, so once it has ended they are written.
     */
    private CompletableFuture<Void> closeAll() {
        List<CompletableFuture<Void>> closes = new ArrayList<>();
        for (Channel channel : mChannels) {
            CompletableFuture<Void> closed = new CompletableFuture<>();
            ChannelFuture unused = channel.close().addListener(done -> closed.complete(null));
            closes.add(closed);
        }
        return CompletableFuture.allOf(closes.toArray(CompletableFuture<?>[]::new));
    }

    private static PeerReply finished(PeerReply body, Throwable failure) {
        return failure == null
                ? body.toBuilder().setStatus(ReplyStatus.OK).build()
                : refusal(ReplyStatus.FAILED, failure.getMessage());
    }

    private static PeerReply refusal(ReplyStatus status, String detail) {
        String text = detail == null ? "" : detail;
        return PeerReply.newBuilder().setStatus(status).setDetail(text).build();
    }
}
