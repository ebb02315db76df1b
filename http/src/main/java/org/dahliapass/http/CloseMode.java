package org.dahliapass.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;

/** How a connection is closed. */
enum CloseMode {
    /** Whatever was written is still delivered. */
    GRACEFUL {
        @Override
        void prepare(Channel channel) {}
    },
    /**
     * Whatever was not delivered yet is dropped, and the peer sees a reset.
     *
     * <p>Guards against a request that reaches its server after it was given up: over a cut link
     * the kernel holds what was written, and after an ordinary close it delivers that once the link
     * is back, seconds later. Also against an answer that ends early and looks whole.
     */
    ABORTIVE {
        @Override
        void prepare(Channel channel) {
            // Without time to linger, the kernel drops what it holds and resets the connection.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
    };

    abstract void prepare(Channel channel);

    /** Closes a connection in this way; one that is closed already stays so. */
    void close(Channel channel) {
        if (channel.isOpen()) {
            prepare(channel);
        }
        ChannelFuture unused = channel.close();
    }
}
