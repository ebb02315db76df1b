package org.dahliapass.http;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Polls a single connection, ahead of the event loop's next poll. */
final class ChannelPoll {
    private ChannelPoll() {}

    /**
     * Reads what is ready on a connection and returns whether it is still open.
     *
     * <p>A busy event loop notices the close of a peer late: at its next poll, behind other events.
     *
     * <p>Must be called on the connection's event loop, but not while a read of the same connection
     * is handled.
     *
     * @param mayRead whether the connection may be read
     */
    static boolean isOpen(Channel channel, boolean mayRead) {
        if (channel.isActive()
                && mayRead
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
        return channel.isActive();
    }
}
