package org.dahliapass.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;

/** The ways to close a connection. */
enum CloseMode {
    /** Data that has been written is still delivered. */
    GRACEFUL {
        @Override
        void prepare(Channel channel) {}
    },
    /**
     * Undelivered data is discarded and the peer sees a reset.
     *
     * <p>After a graceful close, the kernel still delivers an aborted request once a broken network
     * link recovers, and a truncated response can look complete.
     */
    ABORTIVE {
        @Override
        void prepare(Channel channel) {
            // With a linger time of 0, the kernel discards unsent data and sends a reset.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
    };

    abstract void prepare(Channel channel);

    /** Closes a connection in this mode; does nothing if it is already closed. */
    void close(Channel channel) {
        if (channel.isOpen()) {
            prepare(channel);
        }
        ChannelFuture unused = channel.close();
    }
}
