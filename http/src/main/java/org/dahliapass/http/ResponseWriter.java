package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes the responses of one connection in order and sets the headers that frame each of them. */
final class ResponseWriter {
    private final Channel mChannel;
    private final ServerCodec mCodec;
    private ResponseFraming mFraming = ResponseFraming.ofRejection();

    ResponseWriter(Channel channel, ServerCodec codec) {
        mChannel = channel;
        mCodec = codec;
    }

    /** Prepares for the next response, once the one before is written. */
    void begin(ResponseFraming framing) {
        mFraming = framing;
        mCodec.setBodiless(framing.isHeadRequest());
    }

    /** Sends {@code 100 Continue} to a client that waits for it before it sends its body. */
    void writeContinue() {
        ChannelFuture unused =
                send(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.CONTINUE,
                                Unpooled.EMPTY_BUFFER));
    }

    /** Writes a response without a body after which the connection closes. */
    ChannelFuture writeLast(HttpResponseStatus status) {
        begin(ResponseFraming.ofRejection());
        HttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        setFraming(response, 0);
        return mChannel.writeAndFlush(response);
    }

    /** Writes a complete response. */
    ChannelFuture write(ServerResponse response) {
        HttpResponse full =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        response.status(),
                        response.body().duplicate(),
                        response.headers(),
                        response.trailers());
        long length = response.body().readableBytes();
        mFraming.addBodyBytes(length);
        if (mFraming.isHeadRequest() || !hasBody(response.status())) {
            setConnectionHeader(full);
        } else {
            setFraming(full, response.trailers().isEmpty() ? length : -1);
        }
        return mChannel.writeAndFlush(full);
    }

    /**
     * Writes the head of a response whose body follows in parts.
     *
     * @param length the body's length in bytes; negative if unknown
     */
    ChannelFuture writeHead(HttpResponseStatus status, HttpHeaders headers, long length) {
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, status, new DefaultHttpHeaders().set(headers));
        setFraming(head, length);
        return mChannel.write(head, mChannel.voidPromise());
    }

    /** Writes a part of the body and takes ownership of the buffer. */
    ChannelFuture writeChunk(ByteBuf chunk) {
        mFraming.addBodyBytes(chunk.readableBytes());
        return send(new DefaultHttpContent(chunk));
    }

    /** Ends a response whose body was written in parts. */
    ChannelFuture writeEnd(HttpHeaders trailers) {
        LastHttpContent end =
                trailers.isEmpty() || !mFraming.isChunked()
                        ? LastHttpContent.EMPTY_LAST_CONTENT
                        : new DefaultLastHttpContent(
                                Unpooled.EMPTY_BUFFER, new DefaultHttpHeaders().set(trailers));
        return mChannel.writeAndFlush(end);
    }

    /** Writes a message without a listener; a write failure closes the connection. */
    private ChannelFuture send(Object message) {
        return mChannel.writeAndFlush(message, mChannel.voidPromise());
    }

    private static boolean hasBody(HttpResponseStatus status) {
        int code = status.code();
        return code != HttpResponseStatus.NO_CONTENT.code()
                && code != HttpResponseStatus.NOT_MODIFIED.code();
    }

    /** Frames the body by its length, by chunks, or for HTTP/1.0 by closing the connection. */
    private void setFraming(HttpResponse response, long length) {
        mFraming.setLength(length);
        if (length >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        }
        if (mFraming.isChunked()) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        setConnectionHeader(response);
    }

    private void setConnectionHeader(HttpResponse response) {
        if (mFraming.closesAfter()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (mFraming.isHttp10()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }
}
