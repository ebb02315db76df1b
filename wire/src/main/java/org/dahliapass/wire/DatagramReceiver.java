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

/** Reads incoming datagrams, checks them and hands them on. */
final class DatagramReceiver extends SimpleChannelInboundHandler<DatagramPacket> {
    private static final ComponentLog LOG = ComponentLog.of("wire");

    private final PeerMessageValidator mGuard;
    private final GossipHandler mHandler;
    private final LinkFilter mFilter;
    private final TrafficCounters mCounters;

    DatagramReceiver(
            PeerMessageValidator guard,
            GossipHandler handler,
            LinkFilter filter,
            TrafficCounters counters) {
        mGuard = guard;
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
        ReplyStatus status = mGuard.validate(gossip);
        if (status != ReplyStatus.OK) {
            mCounters.countRefused(status);
            return;
        }
        mHandler.onGossip(from, gossip);
    }

    /** Keeps the socket open whatever arrives or can't be sent: it concerns only itself. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof InvalidProtocolBufferException) {
            mCounters.countMalformed();
        }
        LOG.debug("A datagram failed: " + cause.getMessage());
    }
}
