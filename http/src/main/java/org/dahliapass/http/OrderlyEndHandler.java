package org.dahliapass.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Lets only the server's orderly end complete a response without a length; the first handler of a
 * client connection.
 *
 * <p>A codec ends such a response whenever its channel becomes inactive, which is also what follows
 * a reset, a failed write and a close by this side. With half-closure, the end that the server sent
 * is an event of its own; after any other end, the codec is not told that the channel is inactive.
 */
final class OrderlyEndHandler extends ChannelInboundHandlerAdapter {
    private boolean mFailed;
    private boolean mEnded;

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    /** Records a reset, which is also followed by the event of an orderly end. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        mFailed = true;
        context.fireExceptionCaught(failure);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof ChannelInputShutdownEvent)) {
            context.fireUserEventTriggered(event);
            return;
        }
        if (!mFailed) {
            mEnded = true;
            context.fireUserEventTriggered(event);
        }
        ChannelFuture unused = context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ChannelHandlerContext codec =
                context.pipeline().context(CombinedChannelDuplexHandler.class);
        if (mEnded || codec == null) {
            context.fireChannelInactive();
        } else {
            codec.fireChannelInactive();
        }
    }
}
