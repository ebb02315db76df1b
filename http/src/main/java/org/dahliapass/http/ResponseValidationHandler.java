package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;

/**
 * Passes on only bytes of responses that the protocol allows; precedes the codec of a client
 * connection that carries one request at a time.
 *
 * <p>Raises a {@link ProtocolException} for an invalid response, and closes the connection after it
 * and on bytes for which there is no request: the codec would attribute them to the next one.
 */
final class ResponseValidationHandler extends ChannelDuplexHandler {
    private static final String HEAD_REQUEST_START = "HEAD ";

    private final ResponseValidator mValidator = new ResponseValidator();
    private boolean mIsRejected;

    /** Begins the next response with the first bytes of its request. */
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes && bytes.isReadable() && mValidator.isComplete()) {
            mValidator.begin(isHeadRequest(bytes));
        }
        ChannelFuture unused = context.write(message, promise);
    }

    private static boolean isHeadRequest(ByteBuf request) {
        int length = HEAD_REQUEST_START.length();
        return request.readableBytes() >= length
                && request.toString(request.readerIndex(), length, StandardCharsets.US_ASCII)
                        .equals(HEAD_REQUEST_START);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        int end = bytes.readerIndex();
        try {
            end = mIsRejected ? end : mValidator.validate(bytes);
        } catch (ProtocolException invalid) {
            mIsRejected = true;
            context.fireExceptionCaught(invalid);
        }
        boolean hasInvalidBytes = end < bytes.writerIndex();
        if (end > bytes.readerIndex()) {
            context.fireChannelRead(bytes.writerIndex(end));
        } else {
            ReferenceCountUtil.release(bytes);
        }
        if (hasInvalidBytes) {
            ChannelFuture unused = context.close();
        }
    }
}
