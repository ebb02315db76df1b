package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Pauses reading of a connection while too many parts of requests wait.
 *
 * <p>The operating system reports a client's close only behind the bytes that the client sent. So a
 * bounded number of bytes is still read during a pause, as they arrive. A close behind more bytes
 * than that is noticed once reading resumes.
 */
final class ReadPause extends ChannelDuplexHandler {
    /** The bytes read during a pause from which on nothing more is read. */
    static final int MAX_BYTES = 64 * 1024;

    private final PipelineListener mListener;
    private ChannelHandlerContext mContext;
    private boolean mPaused;
    private int mBytes;

    /**
     * Creates the handler of a connection that is read.
     *
     * @param listener is told when a pause begins
     */
    ReadPause(PipelineListener listener) {
        mListener = listener;
    }

    /** Begins a pause or ends it. */
    void update(boolean isFull) {
        if (isFull == mPaused) {
            return;
        }
        mPaused = isFull;
        mContext.channel().config().setAutoRead(!isFull);
        if (isFull) {
            mBytes = 0;
            mListener.onPause();
            mContext.read();
        }
    }

    /** Returns whether the connection may be read now. */
    boolean mayRead() {
        return !mPaused || mBytes < MAX_BYTES;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    /** Reads from the channel if that is allowed; also called by the codec for incomplete parts. */
    @Override
    public void read(ChannelHandlerContext context) {
        if (mayRead()) {
            context.read();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mPaused) {
            mBytes += ((ByteBuf) message).readableBytes();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        context.fireChannelReadComplete();
        if (mPaused) {
            read(context);
        }
    }
}
