package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;

/**
 * Closes the sending half of a connection, and discards what the client still sends until it closes
 * the other half (RFC 9112, section 9.6).
 *
 * <p>The kernel answers bytes that arrive at a closed socket with a reset, and the client then
 * loses the part of the last response that it has not received yet.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    private final DuplexChannel mChannel;
    private final DiscardLimit mLimit;
    private LingerEnd mEnd = LingerEnd.CLIENT_CLOSED;

    LingeringClose(DuplexChannel channel, long nowMillis) {
        mChannel = channel;
        mLimit = new DiscardLimit(nowMillis);
    }

    /**
     * Begins to close the connection. What was written and not yet accepted by the kernel is
     * dropped, and its writes fail before this method returns.
     */
    void begin() {
        mChannel.pipeline().addFirst(this);
        mChannel.shutdownOutput()
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                end(LingerEnd.CLIENT_CLOSED);
                            }
                        });
    }

    /** Ends the connection if the client has not closed it in time. */
    void endIfExpired(long nowMillis) {
        if (mLimit.isExpired(nowMillis)) {
            end(LingerEnd.TIMED_OUT);
        }
    }

    /**
     * Closes the connection, even if the client has not received all.
     *
     * @param end the reason, if the connection is still open
     */
    void end(LingerEnd end) {
        if (mChannel.isOpen()) {
            mEnd = end;
        }
        ChannelFuture unused = mChannel.close();
    }

    /** Returns how the connection has ended. */
    LingerEnd result() {
        return mEnd;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        long count = bytes.readableBytes();
        bytes.release();
        if (mLimit.exceedsWith(count)) {
            end(LingerEnd.TOO_MANY_BYTES);
        }
    }
}
