package org.dahliapass.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.model.Endpoint;
import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.ReplyStatus;

/** Decodes and validates incoming datagrams and passes them to the gossip handler. */
final class DatagramReceiver extends SimpleChannelInboundHandler<DatagramPacket> {
    private static final ComponentLog LOG = ComponentLog.of("wire");

    private final PeerMessageValidator mValidator;
    private final GossipHandler mHandler;
    private final LinkFilter mFilter;
    private final TrafficCounters mCounters;

    DatagramReceiver(
            PeerMessageValidator validator,
            GossipHandler handler,
            LinkFilter filter,
            TrafficCounters counters) {
        mValidator = validator;
        mHandler = handler;
        mFilter = filter;
        mCounters = counters;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet)
            throws InvalidProtocolBufferException {
        Endpoint from = Addresses.toEndpoint(packet.sender());
        if (!mFilter.allows(from, Direction.IN)) {
            return;
        }
        Gossip gossip = Gossip.parseFrom(ByteBufUtil.getBytes(packet.content()));
        mCounters.count(TrafficKind.of(gossip), Direction.IN, packet.content().readableBytes());
        ReplyStatus status = mValidator.validate(gossip);
        if (status != ReplyStatus.OK) {
            mCounters.countRejected(status);
            return;
        }
        mHandler.onGossip(from, gossip);
    }

    /** Keeps the socket open, since a failure concerns a single datagram. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof InvalidProtocolBufferException) {
            mCounters.countMalformed();
        }
        LOG.debug("Processing a datagram failed: " + cause.getMessage());
    }
}
