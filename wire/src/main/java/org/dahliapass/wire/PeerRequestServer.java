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

/** The server side of all connections; validates each request and writes its reply. */
@Sharable
final class PeerRequestServer extends SimpleChannelInboundHandler<PeerRequest> {
    private final PeerMessageValidator mValidator;
    private final RequestHandler mHandler;
    private final TrafficCounters mCounters;
    private final Set<Channel> mChannels = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();
    private volatile boolean mStopping;

    PeerRequestServer(
            PeerMessageValidator validator, RequestHandler handler, TrafficCounters counters) {
        mValidator = validator;
        mHandler = handler;
        mCounters = counters;
    }

    /**
     * Completes the requests in flight, rejects new ones, then closes the connections.
     *
     * @return completes when the last reply has been written
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
        ReplyStatus status = mValidator.validate(request);
        if (status == ReplyStatus.OK && kind == TrafficKind.UNKNOWN) {
            status = ReplyStatus.UNKNOWN_REQUEST;
        }
        if (status != ReplyStatus.OK) {
            mCounters.countRejected(status);
            write(context, request, rejection(status, "Refused: see the status."));
            return;
        }
        mInFlight.incrementAndGet();
        if (mStopping) {
            write(context, request, rejection(ReplyStatus.FAILED, "The VM stops. Ask another."));
            finishRequest();
            return;
        }
        CompletableFuture<Void> unused =
                handle(request)
                        .handle(
                                (body, failure) -> {
                                    write(context, request, toReply(body, failure));
                                    finishRequest();
                                    return null;
                                });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mCounters.countMalformed();
        ChannelFuture unused = context.close();
    }

    private void finishRequest() {
        if (mInFlight.decrementAndGet() == 0 && mStopping) {
            mDrained.complete(null);
        }
    }

    /**
     * Calls the handler and converts an exception into a failed future; otherwise the requester
     * would time out and {@link #drain()} would never complete.
     */
    private CompletableFuture<PeerReply> handle(PeerRequest request) {
        try {
            return mHandler.onRequest(request).thenApply(Objects::requireNonNull);
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void write(ChannelHandlerContext context, PeerRequest request, PeerReply reply) {
        PeerReply complete =
                reply.toBuilder()
                        .setVersion(PeerTransport.VERSION)
                        .setRequestId(request.getRequestId())
                        .build();
        mCounters.count(TrafficKind.REPLY, Direction.OUT, complete.getSerializedSize());
        ChannelFuture unused = context.writeAndFlush(complete, context.voidPromise());
    }

    /**
     * Closes the connections; completes when all are closed.
     *
     * <p>A close is queued after pending replies, so they are written first. A shutdown of the
     * event loop would discard them.
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

    private static PeerReply toReply(PeerReply body, Throwable failure) {
        return failure == null
                ? body.toBuilder().setStatus(ReplyStatus.OK).build()
                : rejection(ReplyStatus.FAILED, failure.getMessage());
    }

    private static PeerReply rejection(ReplyStatus status, String detail) {
        String text = detail == null ? "" : detail;
        return PeerReply.newBuilder().setStatus(status).setDetail(text).build();
    }
}
