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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes the responses of one connection and sets the headers that frame each of them. */
final class ResponseWriter {
    private final Channel mChannel;
    private final ServerCodec mCodec;
    private HttpVersion mRequestVersion = HttpVersion.HTTP_1_1;
    private long mBodyBytes;
    private boolean mHeadRequest;
    private boolean mChunked;
    private boolean mCloseAfterResponse;

    ResponseWriter(Channel channel, ServerCodec codec) {
        mChannel = channel;
        mCodec = codec;
    }

    /** Prepares for the response to the given request. */
    void onRequest(HttpRequest head) {
        mRequestVersion = head.protocolVersion();
        mHeadRequest = HttpMethod.HEAD.equals(head.method());
        mCodec.setBodiless(mHeadRequest);
        mBodyBytes = 0;
        mCloseAfterResponse |= !HttpUtil.isKeepAlive(head);
    }

    /** Marks the next response as the connection's last, with {@code Connection: close}. */
    void closeAfterResponse() {
        mCloseAfterResponse = true;
    }

    /** Returns whether the connection closes after the response. */
    boolean closesAfterResponse() {
        return mCloseAfterResponse;
    }

    /** Returns the number of response body bytes written so far. */
    long bodyBytes() {
        return mBodyBytes;
    }

    /** Sends {@code 100 Continue} to a client that waits for it before it sends its body. */
    void writeContinue() {
        send(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /** Writes a response without a body and marks the connection for closing. */
    ChannelFuture writeLast(HttpResponseStatus status) {
        mCloseAfterResponse = true;
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
        mBodyBytes = response.body().readableBytes();
        if (mHeadRequest || !hasBody(response.status())) {
            setConnectionHeader(full);
        } else {
            setFraming(full, response.trailers().isEmpty() ? mBodyBytes : -1);
        }
        return mChannel.writeAndFlush(full);
    }

    /**
     * Writes the head of a response whose body follows in parts.
     *
     * @param length the body's length in bytes; negative if unknown
     */
    void writeHead(HttpResponseStatus status, HttpHeaders headers, long length) {
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, status, new DefaultHttpHeaders().set(headers));
        setFraming(head, length);
        ChannelFuture unused = mChannel.write(head, mChannel.voidPromise());
    }

    /** Writes a part of the body and takes ownership of the buffer. */
    void writeChunk(ByteBuf chunk) {
        mBodyBytes += chunk.readableBytes();
        send(new DefaultHttpContent(chunk));
    }

    /** Ends a response whose body was written in parts. */
    ChannelFuture writeEnd(HttpHeaders trailers) {
        LastHttpContent end =
                trailers.isEmpty() || !mChunked
                        ? LastHttpContent.EMPTY_LAST_CONTENT
                        : new DefaultLastHttpContent(
                                Unpooled.EMPTY_BUFFER, new DefaultHttpHeaders().set(trailers));
        return mChannel.writeAndFlush(end);
    }

    /** Writes a message without a listener; a write failure closes the connection. */
    private void send(Object message) {
        ChannelFuture unused = mChannel.writeAndFlush(message, mChannel.voidPromise());
    }

    private static boolean hasBody(HttpResponseStatus status) {
        int code = status.code();
        return code != HttpResponseStatus.NO_CONTENT.code()
                && code != HttpResponseStatus.NOT_MODIFIED.code();
    }

    /** Frames the body by its length, by chunks, or for HTTP/1.0 by closing the connection. */
    private void setFraming(HttpResponse response, long length) {
        mChunked = length < 0 && mRequestVersion.equals(HttpVersion.HTTP_1_1);
        if (length >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (mChunked) {
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            mCloseAfterResponse = true;
        }
        setConnectionHeader(response);
    }

    private void setConnectionHeader(HttpResponse response) {
        if (mCloseAfterResponse) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (mRequestVersion.equals(HttpVersion.HTTP_1_0)) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }
}
